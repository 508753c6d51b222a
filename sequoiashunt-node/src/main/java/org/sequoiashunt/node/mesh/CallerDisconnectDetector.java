package org.sequoiashunt.node.mesh;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Notices that a caller has closed its connection while its request is served.
 *
 * <p>Undertow does not read from a connection whose request is under way. This watch does, and hands bytes of a
 * pipelined request back; a caller that has sent one is no longer watched.
 *
 * <p>Confined to the connection's thread. Invariant: no byte of a later request is lost.
 */
final class CallerDisconnectDetector {

    private final HttpServerConnection connection;
    private final Runnable left;

    private CallerDisconnectDetector(final HttpServerConnection connection, final Runnable left) {
        this.connection = connection;
        this.left = left;
    }

    /**
     * Starts to watch the caller of a request that has been read whole.
     *
     * @param exchange the request, not null.
     * @param left run once if the caller leaves, not null.
     */
    static void start(final HttpServerExchange exchange, final Runnable left) {
        ServerConnection server = exchange.getConnection();
        if (server instanceof HttpServerConnection connection && connection.getExtraBytes() == null) {
            CallerDisconnectDetector watch = new CallerDisconnectDetector(connection, left);
            ConduitStreamSourceChannel source = connection.getChannel().getSourceChannel();
            source.setReadListener(watch::readable);
            source.resumeReads();
        }
    }

    /**
     * Tells whether the caller of a request that has been read whole has left already, as callers do whose requests lay
     * unread for too long. Looks at the connection once, without waiting.
     *
     * @param exchange the request, not null.
     * @return true if its connection has ended.
     */
    static boolean hasLeft(final HttpServerExchange exchange) {
        ServerConnection server = exchange.getConnection();
        if (!(server instanceof HttpServerConnection connection) || connection.getExtraBytes() != null) {
            return false;
        }
        boolean[] left = {false};
        new CallerDisconnectDetector(connection, () -> left[0] = true)
                .readable(connection.getChannel().getSourceChannel());
        return left[0];
    }

    private void readable(final ConduitStreamSourceChannel source) {
        PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
        boolean handedBack = false;
        try {
            ByteBuffer buffer = pooled.getBuffer();
            // The channel may still end with the body of the request that has been read.
            int count = connection.getOriginalSourceConduit().read(buffer);
            if (count > 0) {
                buffer.flip();
                connection.ungetRequestBytes(pooled);
                handedBack = true;
                source.suspendReads();
            } else if (count < 0) {
                source.suspendReads();
                left.run();
            }
        } catch (IOException exception) {
            source.suspendReads();
            left.run();
        } finally {
            if (!handedBack) {
                pooled.close();
            }
        }
    }
}
