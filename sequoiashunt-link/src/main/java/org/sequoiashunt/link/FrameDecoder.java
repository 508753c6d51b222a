package org.sequoiashunt.link;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageDecoder;
import java.util.List;
import org.sequoiashunt.link.LinkCounters.Count;
import org.sequoiashunt.link.wire.FrameProto.Frame;
import org.sequoiashunt.time.Clock;

/**
 * Parses complete frames and counts their bytes.
 *
 * <p>Confined to the thread of its connection. Invariant: a frame whose fields occur twice is refused, because protobuf
 * would merge two results into one.
 */
final class FrameDecoder extends MessageToMessageDecoder<ByteBuf> {

    private final LinkCounters counters;
    private final PartialFrameMonitor partialFrameMonitor;
    private final Clock clock;

    FrameDecoder(final LinkCounters counters, final PartialFrameMonitor partialFrameMonitor, final Clock clock) {
        super(ByteBuf.class);
        this.counters = counters;
        this.partialFrameMonitor = partialFrameMonitor;
        this.clock = clock;
    }

    @Override
    protected void decode(final ChannelHandlerContext context, final ByteBuf bytes, final List<Object> out)
            throws LinkProtocolException {
        int length = FrameFactory.LENGTH_BYTES + bytes.readableBytes();
        partialFrameMonitor.frameRead(length, clock.nowMs());
        Frame frame = parse(bytes);
        counters.add(FrameFactory.isCall(frame) ? Count.CALL_BYTES_IN : Count.CONTROL_BYTES_IN, length);
        out.add(frame);
    }

    private static Frame parse(final ByteBuf bytes) throws LinkProtocolException {
        try {
            Frame frame = Frame.parseFrom(bytes.nioBuffer());
            if (frame.getSerializedSize() != bytes.readableBytes()) {
                throw new LinkProtocolException(Refusal.MALFORMED, "frame consists of more than one message");
            }
            return frame;
        } catch (InvalidProtocolBufferException exception) {
            throw new LinkProtocolException(Refusal.MALFORMED, "bytes are not a valid frame", exception);
        }
    }
}
