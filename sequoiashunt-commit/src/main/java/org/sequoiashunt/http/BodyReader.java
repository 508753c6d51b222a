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
 * Reads the body of an HTTP message, up to a maximum size, from a channel without blocking.
 *
 * <p>Confined to the channel's thread.
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
     * @return completes with the body, or exceptionally with {@link IOException}, which is a
     *     {@link BodyTooLargeException} if the body exceeds the maximum.
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
                append(buffer);
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

    private void append(final ByteBuffer buffer) throws BodyTooLargeException {
        buffer.flip();
        if (received.size() + buffer.remaining() > maximumBytes) {
            throw new BodyTooLargeException();
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

    /** Reports a body that exceeds the maximum size. */
    static final class BodyTooLargeException extends IOException {

        private static final long serialVersionUID = 1L;

        BodyTooLargeException() {
            super("the body is too large");
        }
    }
}
