package org.sequoiashunt.node.mesh;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSourceChannel;

/**
 * Receives the body of one request.
 *
 * <p>Memory is reserved as the body arrives, whatever length the request declares. Confined to the I/O thread.
 * Invariant: the handler is called exactly once, unless the connection fails.
 */
final class RequestBodyReceiver {

    private static final int BLOCK_BYTES = 8_192;

    /** Bytes that are read before other connections get their turn. */
    private static final int BYTES_PER_TURN = 65_536;

    private static final byte[] NO_BYTES = new byte[0];

    private final HttpServerExchange exchange;
    private final InboundConnection connection;
    private final Limits limits;
    private final Handler handler;
    private final List<ByteBuffer> blocks = new ArrayList<>();
    private StreamSourceChannel channel;
    private XnioExecutor.Key timeout;
    private int length;
    private boolean ended;

    private RequestBodyReceiver(final HttpServerExchange exchange, final Limits limits, final Handler handler) {
        this.exchange = exchange;
        this.connection = InboundConnection.of(exchange);
        this.limits = limits;
        this.handler = handler;
    }

    /**
     * Limits on one body. Immutable and thread-safe.
     *
     * @param maximumBytes the largest length, in bytes.
     * @param timeoutMs the longest time for the body to arrive, in milliseconds.
     */
    record Limits(long maximumBytes, long timeoutMs) {}

    /** Handles the end of a body. */
    interface Handler {

        /** Handles a request whose body has arrived completely. */
        void handleBody(byte[] body);

        /** Answers a request that is refused. The rest of its body is discarded. */
        void handleRefusal(InputRefusal refusal);
    }

    /**
     * Receives a body. Must be called outside the call of the root handler, see {@link HttpServerExchange#dispatch}.
     *
     * @param exchange the request, not null.
     * @param limits the limits on the body, not null.
     * @param handler called at the end, not null.
     */
    static void receive(final HttpServerExchange exchange, final Limits limits, final Handler handler) {
        if (exchange.isRequestComplete()) {
            handler.handleBody(NO_BYTES);
        } else {
            new RequestBodyReceiver(exchange, limits, handler).start();
        }
    }

    private void start() {
        connection.beginBody(this::refuse);
        if (exchange.getRequestContentLength() > limits.maximumBytes()) {
            refuse(InputRefusal.BODY_TOO_LARGE);
            return;
        }
        channel = exchange.getRequestChannel();
        timeout = exchange.getIoThread()
                .executeAfter(
                        () -> refuse(InputRefusal.BODY_TOO_SLOW),
                        Math.max(0, limits.timeoutMs()),
                        TimeUnit.MILLISECONDS);
        channel.getReadSetter().set(readable -> read());
        read();
    }

    private void read() {
        try (PooledByteBuffer pooled =
                exchange.getConnection().getByteBufferPool().allocate()) {
            int turnBytes = 0;
            while (!ended) {
                ByteBuffer buffer = pooled.getBuffer().clear();
                int count = channel.read(buffer);
                if (ended) {
                    return;
                }
                if (count < 0) {
                    complete();
                    return;
                }
                if (count == 0) {
                    channel.resumeReads();
                    return;
                }
                connection.recordBodyProgress();
                append(buffer.flip());
                turnBytes += count;
                if (turnBytes >= BYTES_PER_TURN && !ended) {
                    channel.wakeupReads();
                    return;
                }
            }
        } catch (IOException exception) {
            // The connection has failed or was refused; closing it ends the exchange.
            end();
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    private void append(final ByteBuffer received) {
        if (length + received.remaining() > limits.maximumBytes()) {
            refuse(InputRefusal.BODY_TOO_LARGE);
            return;
        }
        length += received.remaining();
        while (received.hasRemaining()) {
            if (blocks.isEmpty() || !blocks.get(blocks.size() - 1).hasRemaining()) {
                if (!connection.reserveBody(BLOCK_BYTES)) {
                    refuse(InputRefusal.MEMORY_FULL);
                    return;
                }
                blocks.add(ByteBuffer.allocate(BLOCK_BYTES));
            }
            ByteBuffer block = blocks.get(blocks.size() - 1);
            int count = Math.min(block.remaining(), received.remaining());
            block.put(received.slice(received.position(), count));
            received.position(received.position() + count);
        }
    }

    private void complete() {
        byte[] body = new byte[length];
        int position = 0;
        for (ByteBuffer block : blocks) {
            block.flip();
            int count = block.remaining();
            block.get(body, position, count);
            position += count;
        }
        end();
        connection.completeBody();
        handler.handleBody(body);
    }

    private void refuse(final InputRefusal refusal) {
        if (ended) {
            return;
        }
        end();
        connection.recordRefusal(refusal);
        connection.discardBody(exchange);
        exchange.setPersistent(false);
        handler.handleRefusal(refusal);
    }

    private void end() {
        ended = true;
        blocks.clear();
        if (timeout != null) {
            timeout.remove();
        }
        if (channel != null) {
            channel.suspendReads();
        }
    }
}
