package org.sequoiashunt.http;

import io.undertow.client.ClientConnection;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.time.Clock;
import org.xnio.IoUtils;

/**
 * Idle connections by address, the most recently used first.
 *
 * <p>Thread-safe: guarded by its own monitor. Invariants: a connection is held by the pool or by one exchange, never by
 * both; connections idle for longer than {@link #MAXIMUM_IDLE_MS} are closed, not used.
 */
final class ConnectionPool implements AutoCloseable {

    /** Longest idle time of a connection that is used again. */
    static final long MAXIMUM_IDLE_MS = 20_000;

    /** Longest idle time before a request that must not be sent twice: peers may close idle connections. */
    static final long MAXIMUM_IDLE_ONCE_MS = 500;

    private static final int MAXIMUM_IDLE_PER_ADDRESS = 32;

    private final Clock clock;
    private final Map<NodeAddress, Deque<IdleConnection>> idle = new HashMap<>();
    private boolean closed;

    ConnectionPool(final Clock clock) {
        this.clock = clock;
    }

    synchronized Optional<ClientConnection> take(final NodeAddress address, final boolean repeatable) {
        Deque<IdleConnection> present = idle.get(address);
        long limitMs = clock.nowMs() - (repeatable ? MAXIMUM_IDLE_MS : MAXIMUM_IDLE_ONCE_MS);
        while (present != null && !present.isEmpty()) {
            IdleConnection candidate = present.pop();
            if (candidate.connection().isOpen() && candidate.sinceMs() >= limitMs) {
                return Optional.of(candidate.connection());
            }
            IoUtils.safeClose(candidate.connection());
        }
        return Optional.empty();
    }

    synchronized void give(final NodeAddress address, final ClientConnection connection) {
        Deque<IdleConnection> present = idle.computeIfAbsent(address, unused -> new ArrayDeque<>());
        if (closed || present.size() >= MAXIMUM_IDLE_PER_ADDRESS || !connection.isOpen()) {
            IoUtils.safeClose(connection);
            return;
        }
        present.push(new IdleConnection(connection, clock.nowMs()));
    }

    @Override
    public synchronized void close() {
        closed = true;
        idle.values().forEach(connections -> connections.forEach(each -> IoUtils.safeClose(each.connection())));
        idle.clear();
    }

    /** Connection with the time since which it is idle. Immutable and thread-safe. */
    private record IdleConnection(ClientConnection connection, long sinceMs) {}
}
