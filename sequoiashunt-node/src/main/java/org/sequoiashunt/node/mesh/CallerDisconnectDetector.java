package org.sequoiashunt.node.mesh;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Detects that a caller has closed its connection while its request is being served.
 *
 * <p>Undertow does not read from a connection while a request on it is being served. This detector does, keeps the
 * bytes of pipelined requests for the connection and reports them. It stops once they fill one buffer, so that a caller
 * that sends more is not found to have left before a request has been answered.
 *
 * <p>Confined to the connection's I/O thread. Invariants: no byte of a later request is lost, and their order is kept;
 * a connection holds at most one buffer of bytes of later requests.
 */
final class CallerDisconnectDetector {

    private static final byte[] NO_BYTES = new byte[0];

    private final HttpServerConnection connection;
    private final Runnable onDisconnect;
    private final Consumer<byte[]> onBytes;

    private CallerDisconnectDetector(
            final HttpServerConnection connection, final Runnable onDisconnect, final Consumer<byte[]> onBytes) {
        this.connection = connection;
        this.onDisconnect = onDisconnect;
        this.onBytes = onBytes;
    }

    /**
     * Starts to watch the connection of a request whose body has been read completely.
     *
     * @param exchange the request, not null.
     * @param onDisconnect runs once if the caller closes the connection or the connection fails, not null.
     * @param onBytes receives all bytes that have arrived behind the request whenever there are more, not null.
     */
    static void start(final HttpServerExchange exchange, final Runnable onDisconnect, final Consumer<byte[]> onBytes) {
        ServerConnection serverConnection = exchange.getConnection();
        if (serverConnection instanceof HttpServerConnection connection) {
            CallerDisconnectDetector detector = new CallerDisconnectDetector(connection, onDisconnect, onBytes);
            ConduitStreamSourceChannel source = connection.getChannel().getSourceChannel();
            source.setReadListener(detector::checkConnection);
            source.resumeReads();
        }
    }

    /**
     * Checks whether the caller has disconnected, as callers do whose requests stayed unread for too long. Reads
     * from the connection once, without waiting. The body of the request must have been read completely.
     *
     * @param exchange the request, not null.
     * @return true if the connection of the request has ended; false also if a pipelined request has arrived.
     */
    static boolean hasDisconnected(final HttpServerExchange exchange) {
        ServerConnection serverConnection = exchange.getConnection();
        if (!(serverConnection instanceof HttpServerConnection connection)) {
            return false;
        }
        boolean[] disconnected = {false};
        new CallerDisconnectDetector(connection, () -> disconnected[0] = true, bytes -> {})
                .checkConnection(connection.getChannel().getSourceChannel());
        return disconnected[0];
    }

    /** Returns a copy of the bytes that have arrived behind a request whose body has been read completely. */
    static byte[] bytesBehind(final HttpServerExchange exchange) {
        return exchange.getConnection() instanceof HttpServerConnection connection ? bytesBehind(connection) : NO_BYTES;
    }

    private static byte[] bytesBehind(final HttpServerConnection connection) {
        PooledByteBuffer kept = connection.getExtraBytes();
        if (kept == null) {
            return NO_BYTES;
        }
        byte[] bytes = new byte[kept.getBuffer().remaining()];
        kept.getBuffer().duplicate().get(bytes);
        return bytes;
    }

    private void checkConnection(final ConduitStreamSourceChannel source) {
        PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
        boolean kept = false;
        try {
            ByteBuffer buffer = pooled.getBuffer();
            PooledByteBuffer earlier = connection.getExtraBytes();
            if (earlier != null) {
                if (earlier.getBuffer().remaining() >= buffer.remaining()) {
                    source.suspendReads();
                    return;
                }
                buffer.put(earlier.getBuffer().duplicate());
            }
            // Bypasses the channel's conduits: they may still end with the body that has been read.
            int count = connection.getOriginalSourceConduit().read(buffer);
            if (count > 0) {
                buffer.flip();
                connection.setExtraBytes(pooled);
                kept = true;
                if (earlier != null) {
                    earlier.close();
                }
                onBytes.accept(bytesBehind(connection));
            } else if (count < 0) {
                source.suspendReads();
                onDisconnect.run();
            }
        } catch (IOException exception) {
            source.suspendReads();
            onDisconnect.run();
        } finally {
            if (!kept) {
                pooled.close();
            }
        }
    }
}
