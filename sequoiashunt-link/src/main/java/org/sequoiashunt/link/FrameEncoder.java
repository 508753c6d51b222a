package org.sequoiashunt.link;

import com.google.protobuf.CodedOutputStream;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToByteEncoder;
import java.io.IOException;
import org.sequoiashunt.link.LinkCounters.Count;
import org.sequoiashunt.link.wire.FrameProto.Frame;

/** Encodes frames with a length prefix and counts their bytes. Confined to the thread of its connection. */
final class FrameEncoder extends MessageToByteEncoder<Frame> {

    private final LinkCounters counters;

    FrameEncoder(final LinkCounters counters) {
        super(Frame.class);
        this.counters = counters;
    }

    @Override
    protected ByteBuf allocateBuffer(final ChannelHandlerContext context, final Frame frame, final boolean direct) {
        return context.alloc().directBuffer(FrameFactory.encodedBytes(frame));
    }

    @Override
    protected void encode(final ChannelHandlerContext context, final Frame frame, final ByteBuf out)
            throws IOException {
        int size = frame.getSerializedSize();
        out.writeInt(size);
        CodedOutputStream stream = CodedOutputStream.newInstance(out.nioBuffer(out.writerIndex(), size));
        frame.writeTo(stream);
        stream.flush();
        out.writerIndex(out.writerIndex() + size);
        counters.add(
                FrameFactory.isCall(frame) ? Count.CALL_BYTES_OUT : Count.CONTROL_BYTES_OUT,
                FrameFactory.LENGTH_BYTES + size);
    }
}
