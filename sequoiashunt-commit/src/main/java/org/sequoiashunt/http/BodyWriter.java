package org.sequoiashunt.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.sequoiashunt.call.Body;
import org.xnio.ChannelListeners;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes a body to a channel without blocking. Confined to the channel's thread.
 */
final class BodyWriter {

    private final ByteBuffer remaining;
    private final Consumer<IOException> failed;

    private BodyWriter(final Body body, final Consumer<IOException> failed) {
        this.remaining = ByteBuffer.wrap(body.bytes());
        this.failed = failed;
    }

    /**
     * Writes a body and ends the channel.
     *
     * @param body the body, not null.
     * @param channel the channel, not null.
     * @param failed told if the channel fails, not null.
     */
    static void write(final Body body, final StreamSinkChannel channel, final Consumer<IOException> failed) {
        new BodyWriter(body, failed).continueWriting(channel);
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
            failed.accept(exception);
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
                            null, (flushed, exception) -> failed.accept(exception)));
            channel.resumeWrites();
        }
    }
}
