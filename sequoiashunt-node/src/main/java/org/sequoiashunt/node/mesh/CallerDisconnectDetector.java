package org.sequoiashunt.node.mesh;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Detects that a caller has closed its connection while its request is being served.
 *
 * <p>Undertow does not read from a connection while a request on it is being served. This detector does, and returns
 * the bytes of a pipelined request to the connection; it stops once a pipelined request has arrived.
 *
 * <p>Confined to the connection's I/O thread. Invariant: no byte of a later request is lost.
 */
final class CallerDisconnectDetector {

    private final HttpServerConnection connection;
    private final Runnable onDisconnect;

    private CallerDisconnectDetector(final HttpServerConnection connection, final Runnable onDisconnect) {
        this.connection = connection;
        this.onDisconnect = onDisconnect;
    }

    /**
     * Starts to watch the connection of a request whose body has been read completely. Does nothing if a pipelined
     * request has already arrived.
     *
     * @param exchange the request, not null.
     * @param onDisconnect runs once if the caller closes the connection or the connection fails, not null.
     */
    static void start(final HttpServerExchange exchange, final Runnable onDisconnect) {
        ServerConnection serverConnection = exchange.getConnection();
        if (serverConnection instanceof HttpServerConnection connection && connection.getExtraBytes() == null) {
            CallerDisconnectDetector detector = new CallerDisconnectDetector(connection, onDisconnect);
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
        if (!(serverConnection instanceof HttpServerConnection connection) || connection.getExtraBytes() != null) {
            return false;
        }
        boolean[] disconnected = {false};
        new CallerDisconnectDetector(connection, () -> disconnected[0] = true)
                .checkConnection(connection.getChannel().getSourceChannel());
        return disconnected[0];
    }

    private void checkConnection(final ConduitStreamSourceChannel source) {
        PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
        boolean returnedToConnection = false;
        try {
            ByteBuffer buffer = pooled.getBuffer();
            // Bypasses the channel's conduits: they may still end with the body that has been read.
            int count = connection.getOriginalSourceConduit().read(buffer);
            if (count > 0) {
                buffer.flip();
                connection.ungetRequestBytes(pooled);
                returnedToConnection = true;
                source.suspendReads();
            } else if (count < 0) {
                source.suspendReads();
                onDisconnect.run();
            }
        } catch (IOException exception) {
            source.suspendReads();
            onDisconnect.run();
        } finally {
            if (!returnedToConnection) {
                pooled.close();
            }
        }
    }
}
