package org.sequoiashunt.node.mesh;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.util.LinkedHashSet;
import java.util.Objects;
import java.util.Set;
import java.util.function.IntSupplier;
import org.sequoiashunt.time.Clock;
import org.xnio.ChannelListener;
import org.xnio.StreamConnection;

/**
 * Connections of one address. Bounds their number and the memory of the requests that they send.
 *
 * <p>If a limit would be exceeded, the connection whose incomplete request holds most is refused, and the one that asks
 * for memory only if no other holds more. If there are too many connections, the one that has waited longest for a
 * request is closed, and first those that never sent a complete one. Requests that are being served are never refused.
 *
 * <p>Thread-safe: guarded by this object's monitor, which is not held while a connection is refused. Invariants: the
 * memory that is held never exceeds the limits; each connection releases what it holds when its request ends or when
 * it closes.
 */
final class InboundConnections implements HttpHandler {

    private final Dependencies dependencies;
    private final Set<InboundConnection> connections = new LinkedHashSet<>();
    private final long[] heldBytes = new long[InputPart.values().length];
    /** Confined to the I/O thread. */
    private byte[] scratch = new byte[8_192];

    /**
     * Creates an empty set of connections.
     *
     * @param dependencies the limits and collaborators, not null.
     */
    InboundConnections(final Dependencies dependencies) {
        this.dependencies = Objects.requireNonNull(dependencies, "dependencies");
    }

    /**
     * Limits the input of an accepted connection, or refuses it.
     *
     * @param channel the connection, not null.
     * @param next handles the connection once its input is limited, not null.
     */
    void begin(final StreamConnection channel, final ChannelListener<StreamConnection> next) {
        InboundConnection connection = new InboundConnection(channel, this);
        if (!makeRoomForConnection()) {
            connection.refuse(InputRefusal.TOO_MANY_CONNECTIONS);
            return;
        }
        synchronized (this) {
            connections.add(connection);
        }
        channel.getSourceChannel().setConduit(connection);
        next.handleEvent(channel);
        ChannelListener<? super StreamConnection> closeListener = channel.getCloseListener();
        channel.setCloseListener(closed -> {
            remove(connection);
            if (closeListener != null) {
                closeListener.handleEvent(closed);
            }
        });
        if (!channel.isOpen()) {
            remove(connection);
        }
    }

    private boolean makeRoomForConnection() {
        InboundConnection longestWaiting;
        synchronized (this) {
            if (connections.size() < dependencies.limits().maximumConnections()) {
                return true;
            }
            longestWaiting = longestWaiting();
        }
        if (longestWaiting == null) {
            return false;
        }
        longestWaiting.refuse(InputRefusal.TOO_MANY_CONNECTIONS);
        remove(longestWaiting);
        return true;
    }

    private InboundConnection longestWaiting() {
        InboundConnection longestWaiting = null;
        for (InboundConnection connection : connections) {
            if (connection.awaitsRequest() && (longestWaiting == null || connection.isRefusedBefore(longestWaiting))) {
                longestWaiting = connection;
            }
        }
        return longestWaiting;
    }

    @Override
    public void handleRequest(final HttpServerExchange exchange) throws Exception {
        InboundConnection.of(exchange).beginExchange(exchange);
        dependencies.handler().handleRequest(exchange);
    }

    /**
     * Reserves memory for a connection, if necessary by refusing others that hold more.
     *
     * @return false if the connection itself must be refused; nothing is reserved then.
     */
    boolean reserve(final InboundConnection connection, final InputPart part, final long bytes) {
        while (true) {
            InboundConnection largest;
            synchronized (this) {
                if (!connections.contains(connection)) {
                    return false;
                }
                long ownBytes = connection.heldBytes(part) + bytes;
                long limitBytes = part.isLarge(ownBytes)
                        ? dependencies.limits().bytesForLargeInput(part)
                        : dependencies.limits().bytes(part);
                if (heldBytes[part.ordinal()] + bytes <= limitBytes) {
                    heldBytes[part.ordinal()] += bytes;
                    connection.hold(part, bytes);
                    return true;
                }
                largest = largestIncomplete(part, ownBytes);
            }
            if (largest == null) {
                return false;
            }
            largest.refuse(InputRefusal.MEMORY_FULL);
            release(largest, part);
        }
    }

    /** Returns the connection whose incomplete request holds most, or null if none holds more than the given memory. */
    private InboundConnection largestIncomplete(final InputPart part, final long bytes) {
        InboundConnection largest = null;
        long largestBytes = bytes;
        for (InboundConnection connection : connections) {
            if (connection.heldBytes(part) > largestBytes && connection.isIncomplete()) {
                largest = connection;
                largestBytes = connection.heldBytes(part);
            }
        }
        return largest;
    }

    /** Releases the memory that a connection holds for a part of its request. */
    synchronized void release(final InboundConnection connection, final InputPart part) {
        heldBytes[part.ordinal()] -= connection.heldBytes(part);
        connection.hold(part, -connection.heldBytes(part));
    }

    private synchronized void remove(final InboundConnection connection) {
        if (connections.remove(connection)) {
            release(connection, InputPart.HEAD);
            release(connection, InputPart.BODY);
        }
    }

    /** Logs and counts refused input. */
    void recordRefusal(final InboundConnection connection, final InputRefusal refusal) {
        int connectionCount;
        synchronized (this) {
            connectionCount = connections.size();
        }
        dependencies
                .metrics()
                .countRefusedInput(dependencies.name(), refusal.text().replace(' ', '-'));
        dependencies.log().log(
                LogKind.INPUT_REFUSED,
                "listener",
                dependencies.name(),
                "reason",
                refusal.text(),
                "status",
                refusal.status(),
                "peer",
                connection.peer(),
                "headBytes",
                connection.heldBytes(InputPart.HEAD),
                "bodyBytes",
                connection.heldBytes(InputPart.BODY),
                "connections",
                connectionCount);
    }

    int maximumHeaderBytes() {
        return dependencies.maximumHeaderBytes().getAsInt();
    }

    /** Returns an array of at least a length, in bytes, for use on the I/O thread until the next call. */
    byte[] scratch(final int length) {
        if (scratch.length < length) {
            scratch = new byte[length];
        }
        return scratch;
    }

    long nowMs() {
        return dependencies.clock().nowMs();
    }

    /**
     * Limits and collaborators. Immutable; as thread-safe as its components.
     *
     * @param name the name of the address in the log and in metrics.
     * @param handler handles the requests.
     * @param limits the limits on all connections together.
     * @param maximumHeaderBytes supplies the largest length of the head of a request, in bytes.
     * @param clock the time source.
     * @param metrics counts refused input.
     * @param log the log of decisions.
     */
    record Dependencies(
            String name,
            HttpHandler handler,
            InputLimits limits,
            IntSupplier maximumHeaderBytes,
            Clock clock,
            MeshMetrics metrics,
            DecisionLog log) {}
}
