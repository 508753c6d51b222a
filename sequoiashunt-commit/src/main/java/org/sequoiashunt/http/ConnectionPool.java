package org.sequoiashunt.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.time.Clock;

/**
 * Pool of idle connections, by address, that hands out the most recently used one first.
 *
 * <p>Thread-safe: guarded by its own monitor. Invariants: a connection is held by the pool or by one exchange, never by
 * both; a connection that was idle for longer than {@link #MAXIMUM_IDLE_MS} is closed instead of reused.
 */
final class ConnectionPool implements AutoCloseable {

    /** Longest idle time after which a connection is reused for a request that may be sent twice. */
    static final long MAXIMUM_IDLE_MS = 20_000;

    /** Longest idle time for a request that must not be sent twice: the peer may be closing an idle connection. */
    static final long MAXIMUM_IDLE_NOT_REPEATABLE_MS = 500;

    private static final int MAXIMUM_IDLE_PER_ADDRESS = 32;

    private final Clock clock;
    private final Map<NodeAddress, Deque<IdleConnection>> idleConnections = new HashMap<>();
    private boolean closed;

    ConnectionPool(final Clock clock) {
        this.clock = clock;
    }

    synchronized Optional<HttpConnection> acquire(final NodeAddress address, final boolean repeatable) {
        Deque<IdleConnection> connections = idleConnections.get(address);
        long earliestIdleSinceMs = clock.nowMs() - (repeatable ? MAXIMUM_IDLE_MS : MAXIMUM_IDLE_NOT_REPEATABLE_MS);
        while (connections != null && !connections.isEmpty()) {
            IdleConnection candidate = connections.pop();
            if (candidate.connection().isOpen() && candidate.idleSinceMs() >= earliestIdleSinceMs) {
                return Optional.of(candidate.connection());
            }
            candidate.connection().close();
        }
        return Optional.empty();
    }

    synchronized void release(final NodeAddress address, final HttpConnection connection) {
        Deque<IdleConnection> connections = idleConnections.computeIfAbsent(address, unused -> new ArrayDeque<>());
        if (closed || connections.size() >= MAXIMUM_IDLE_PER_ADDRESS || !connection.isOpen()) {
            connection.close();
            return;
        }
        connections.push(new IdleConnection(connection, clock.nowMs()));
    }

    @Override
    public synchronized void close() {
        closed = true;
        idleConnections
                .values()
                .forEach(connections ->
                        connections.forEach(each -> each.connection().close()));
        idleConnections.clear();
    }

    /** Connection and the time at which it became idle. Immutable and thread-safe. */
    private record IdleConnection(HttpConnection connection, long idleSinceMs) {}
}
