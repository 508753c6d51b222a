package org.sequoiashunt.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.HeaderField;
import org.sequoiashunt.link.wire.FrameProto.CallEnd;
import org.sequoiashunt.link.wire.FrameProto.Frame;

/** Bytes of two results are never decoded as one. */
class FrameDecoderTest {

    private static final int MAXIMUM_BYTES = 1 << 26;
    private static final int BODY_BYTES = 40;
    private static final Frame FAILURE = result(500, "failure", (byte) 1);
    private static final Frame SUCCESS = result(200, "success", (byte) 2);

    @Test
    void twoResultsInOneFrameAreNotMerged() {
        ByteString joined = FAILURE.toByteString().concat(SUCCESS.toByteString());
        EmbeddedChannel channel = channel();
        DecoderException failure =
                assertThrows(DecoderException.class, () -> channel.writeInbound(withLength(joined.size(), joined)));
        assertEquals(Refusal.MALFORMED, RefusalClassifier.classify(failure).orElseThrow());
        assertFalse(channel.finish());
    }

    /** A cut in the body, whose bytes come last, cannot be told apart. */
    @Test
    void resultCutBeforeItsBodyIsNotContinuedByAnother() {
        ByteString failure = FAILURE.toByteString();
        for (int cut = 0; cut < failure.size() - BODY_BYTES; cut++) {
            EmbeddedChannel channel = channel();
            ByteBuf bytes = withLength(failure.size(), failure.substring(0, cut));
            for (int repetition = 0; repetition < 3; repetition++) {
                bytes.writeBytes(withLength(SUCCESS.getSerializedSize(), SUCCESS.toByteString()));
            }
            for (Frame frame : decoded(channel, bytes)) {
                if (frame.hasCallEnd()) {
                    assertFalse(isMixed(frame.getCallEnd()), "cut at " + cut + ": " + frame);
                }
            }
        }
    }

    private static boolean isMixed(final CallEnd end) {
        boolean whole = end.equals(FAILURE.getCallEnd()) || end.equals(SUCCESS.getCallEnd());
        boolean taken = true;
        try {
            CallCodec.decode(end);
        } catch (LinkProtocolException exception) {
            taken = false;
        }
        return taken && !whole;
    }

    private static List<Frame> decoded(final EmbeddedChannel channel, final ByteBuf bytes) {
        List<Frame> frames = new ArrayList<>();
        try {
            channel.writeInbound(bytes);
        } catch (DecoderException exception) {
            assertEquals(
                    Refusal.MALFORMED, RefusalClassifier.classify(exception).orElse(Refusal.MALFORMED));
        }
        Frame frame = channel.readInbound();
        while (frame != null) {
            frames.add(frame);
            frame = channel.readInbound();
        }
        return frames;
    }

    private static EmbeddedChannel channel() {
        return new EmbeddedChannel(
                new LengthFieldBasedFrameDecoder(
                        MAXIMUM_BYTES, 0, FrameFactory.LENGTH_BYTES, 0, FrameFactory.LENGTH_BYTES),
                new FrameDecoder(new LinkCounters(), new PartialFrameMonitor(1_000, 0), LinkFixture.CLOCK));
    }

    private static ByteBuf withLength(final int length, final ByteString bytes) {
        return Unpooled.buffer().writeInt(length).writeBytes(bytes.toByteArray());
    }

    private static Frame result(final int status, final String name, final byte filler) {
        byte[] body = new byte[BODY_BYTES];
        Arrays.fill(body, filler);
        CallResponse response =
                new CallResponse(status, List.of(new HeaderField("Signature", name.repeat(10))), Body.of(body));
        return FrameFactory.of(CallCodec.encode(1, "call", CallResult.complete(response)));
    }
}
