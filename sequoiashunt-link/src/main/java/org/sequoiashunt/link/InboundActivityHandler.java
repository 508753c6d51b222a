package org.sequoiashunt.link;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import org.sequoiashunt.time.Clock;

/**
 * Reports received bytes, including those of incomplete frames, to the monitor and runs a callback. Confined to the
 * thread of its connection.
 */
final class InboundActivityHandler extends ChannelInboundHandlerAdapter {

    private final PartialFrameMonitor partialFrameMonitor;
    private final Clock clock;
    private final Runnable afterRead;

    InboundActivityHandler(final PartialFrameMonitor partialFrameMonitor, final Clock clock, final Runnable afterRead) {
        this.partialFrameMonitor = partialFrameMonitor;
        this.clock = clock;
        this.afterRead = afterRead;
    }

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object message) {
        if (message instanceof ByteBuf bytes) {
            partialFrameMonitor.bytesRead(bytes.readableBytes(), bytes.capacity(), clock.nowMs());
        }
        context.fireChannelRead(message);
        afterRead.run();
    }
}
