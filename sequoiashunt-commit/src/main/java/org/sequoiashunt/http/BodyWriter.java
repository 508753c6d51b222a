package org.sequoiashunt.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.sequoiashunt.call.Body;
import org.xnio.ChannelListeners;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes the body of an HTTP message to a channel without blocking. Confined to the channel's thread.
 */
final class BodyWriter {

    private final ByteBuffer remaining;
    private final Consumer<IOException> onFailure;

    private BodyWriter(final Body body, final Consumer<IOException> onFailure) {
        this.remaining = ByteBuffer.wrap(body.bytes());
        this.onFailure = onFailure;
    }

    /**
     * Writes a body and shuts the channel down for writing.
     *
     * @param body the body, not null.
     * @param channel the channel, not null.
     * @param onFailure receives the exception if the channel fails, not null.
     */
    static void write(final Body body, final StreamSinkChannel channel, final Consumer<IOException> onFailure) {
        new BodyWriter(body, onFailure).continueWriting(channel);
    }

    private void continueWriting(final StreamSinkChannel channel) {
        try {
            while (remaining.hasRemaining()) {
                if (channel.write(remaining) == 0) {
                    awaitWritable(channel);
                    return;
                }
            }
            finish(channel);
        } catch (IOException exception) {
            onFailure.accept(exception);
        }
    }

    private void awaitWritable(final StreamSinkChannel channel) {
        channel.getWriteSetter().set(this::continueWriting);
        channel.resumeWrites();
    }

    private void finish(final StreamSinkChannel channel) throws IOException {
        channel.shutdownWrites();
        if (!channel.flush()) {
            channel.getWriteSetter()
                    .set(ChannelListeners.flushingChannelListener(
                            null, (flushed, exception) -> onFailure.accept(exception)));
            channel.resumeWrites();
        }
    }
}
