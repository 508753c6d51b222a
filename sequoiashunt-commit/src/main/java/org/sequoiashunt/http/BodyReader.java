package org.sequoiashunt.http;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import org.sequoiashunt.call.Body;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads a bounded body from a channel without blocking. Confined to the channel's thread.
 */
final class BodyReader {

    private final int maximumBytes;
    private final ByteBufferPool buffers;
    private final ByteArrayOutputStream received = new ByteArrayOutputStream();
    private final CompletableFuture<Body> result = new CompletableFuture<>();

    BodyReader(final int maximumBytes, final ByteBufferPool buffers) {
        this.maximumBytes = maximumBytes;
        this.buffers = buffers;
    }

    /**
     * Reads until the end of the message.
     *
     * @param channel the channel, not null.
     * @return completes with the body, or exceptionally with {@link IOException}, {@link TooLargeException} if the body
     *     exceeds the bound.
     */
    CompletableFuture<Body> read(final StreamSourceChannel channel) {
        continueReading(channel);
        return result;
    }

    private void continueReading(final StreamSourceChannel channel) {
        try (PooledByteBuffer pooled = buffers.allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            int count = channel.read(buffer);
            while (count > 0) {
                take(buffer);
                count = channel.read(buffer);
            }
            if (count < 0) {
                result.complete(Body.of(received.toByteArray()));
            } else {
                awaitReadable(channel);
            }
        } catch (IOException exception) {
            result.completeExceptionally(exception);
        }
    }

    private void take(final ByteBuffer buffer) throws TooLargeException {
        buffer.flip();
        if (received.size() + buffer.remaining() > maximumBytes) {
            throw new TooLargeException();
        }
        byte[] chunk = new byte[buffer.remaining()];
        buffer.get(chunk);
        received.write(chunk, 0, chunk.length);
        buffer.clear();
    }

    private void awaitReadable(final StreamSourceChannel channel) {
        channel.getReadSetter().set(this::continueReading);
        channel.resumeReads();
    }

    /** Reports a body that exceeds the bound. */
    static final class TooLargeException extends IOException {

        private static final long serialVersionUID = 1L;

        TooLargeException() {
            super("the body is too large");
        }
    }
}
