package org.sequoiashunt.link;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Runs a check for a pause of this process before received bytes are processed. Confined to the thread of its
 * connection.
 */
final class PauseHandler extends ChannelInboundHandlerAdapter {

    private final Runnable beforeRead;

    PauseHandler(final Runnable beforeRead) {
        this.beforeRead = beforeRead;
    }

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object message) {
        beforeRead.run();
        context.fireChannelRead(message);
    }
}
