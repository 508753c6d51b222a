package org.sequoiashunt.link;

import io.netty.channel.Channel;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;

/**
 * Adds the channel handlers that the opening and the accepting side of a connection have in common. Stateless and
 * thread-safe.
 */
final class FramePipeline {

    private FramePipeline() {}

    static void addHandlers(
            final Channel channel,
            final LinkContext context,
            final PartialFrameMonitor partialFrameMonitor,
            final Runnable afterRead) {
        int maximumBytes = FrameFactory.LENGTH_BYTES + context.limits().maximumFrameBytes();
        channel.pipeline()
                .addLast(new InboundActivityHandler(partialFrameMonitor, context.clock(), afterRead))
                .addLast(new LengthFieldBasedFrameDecoder(
                        maximumBytes, 0, FrameFactory.LENGTH_BYTES, 0, FrameFactory.LENGTH_BYTES))
                .addLast(new FrameDecoder(context.counters(), partialFrameMonitor, context.clock()))
                .addLast(new FrameEncoder(context.counters()));
    }

    static WriteBufferWaterMark waterMark(final LinkLimits limits) {
        return new WriteBufferWaterMark(limits.maximumFrameBytes() / 2, limits.maximumFrameBytes());
    }
}
