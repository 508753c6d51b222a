package org.sequoiashunt.link;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import org.sequoiashunt.link.wire.FrameProto.Frame;
import org.sequoiashunt.time.Clock;

/**
 * Writes the frames of one connection and accounts for those that the peer has not read.
 *
 * <p>Confined to the thread of the connection. Invariant: a frame that cannot be written closes the connection, so that
 * the peer does not wait for a result that was lost.
 */
final class FrameWriter {

    private final Channel channel;
    private final ConnectionBudget budget;
    private final ConnectionBudget.Holder holder = this::closeOverBudget;
    private final Runnable onNotRead;
    private final Clock clock;
    private long unreadBytes;
    private long unreadSinceMs;
    private boolean closed;

    /**
     * Creates a writer.
     *
     * @param channel the connection.
     * @param budget the memory for unread frames of all connections.
     * @param onNotRead closes the connection if the budget is exceeded.
     * @param clock the time source.
     */
    FrameWriter(final Channel channel, final ConnectionBudget budget, final Runnable onNotRead, final Clock clock) {
        this.channel = channel;
        this.budget = budget;
        this.onNotRead = onNotRead;
        this.clock = clock;
    }

    void write(final Frame frame) {
        ChannelFuture written = channel.writeAndFlush(frame);
        if (!written.isDone()) {
            long bytes = FrameFactory.encodedBytes(frame);
            if (unreadBytes == 0) {
                unreadSinceMs = clock.nowMs();
            }
            account(bytes);
            written.addListener(done -> {
                unreadSinceMs = clock.nowMs();
                account(-bytes);
                closeIfFailed(written);
            });
        } else {
            closeIfFailed(written);
        }
    }

    /** Releases the budget; call this when the connection has been closed. */
    void close() {
        closed = true;
        budget.remove(holder);
    }

    /** Ends the accounting first, because closing the connection reports each unread frame as failed. */
    private void closeOverBudget() {
        closed = true;
        onNotRead.run();
    }

    private void account(final long bytes) {
        unreadBytes += bytes;
        if (!closed) {
            budget.update(holder, unreadBytes, unreadSinceMs, clock.nowMs());
        }
    }

    private void closeIfFailed(final ChannelFuture written) {
        if (!written.isSuccess() && channel.isOpen()) {
            channel.pipeline().fireExceptionCaught(written.cause());
        }
    }
}
