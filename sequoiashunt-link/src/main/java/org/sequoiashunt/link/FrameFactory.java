package org.sequoiashunt.link;

import org.sequoiashunt.link.wire.FrameProto.CallCancel;
import org.sequoiashunt.link.wire.FrameProto.CallEnd;
import org.sequoiashunt.link.wire.FrameProto.CallQuery;
import org.sequoiashunt.link.wire.FrameProto.CallStart;
import org.sequoiashunt.link.wire.FrameProto.CallState;
import org.sequoiashunt.link.wire.FrameProto.Control;
import org.sequoiashunt.link.wire.FrameProto.Frame;
import org.sequoiashunt.link.wire.FrameProto.Hello;
import org.sequoiashunt.link.wire.FrameProto.Ping;
import org.sequoiashunt.link.wire.FrameProto.Pong;

/** Creates frames and reads the identity from hello frames. Stateless and thread-safe. */
final class FrameFactory {

    static final int PROTOCOL_VERSION = 1;
    static final int LENGTH_BYTES = 4;

    private static final Frame PING =
            Frame.newBuilder().setPing(Ping.getDefaultInstance()).build();

    private FrameFactory() {}

    static Frame hello(final LinkIdentity identity, final long stampMs) {
        return Frame.newBuilder()
                .setHello(Hello.newBuilder()
                        .setProtocolVersion(PROTOCOL_VERSION)
                        .setNode(identity.node())
                        .setIncarnation(identity.incarnation())
                        .setStamp(stampMs))
                .build();
    }

    static LinkIdentity identity(final Hello hello) throws LinkProtocolException {
        if (hello.getProtocolVersion() != PROTOCOL_VERSION) {
            throw new LinkProtocolException(
                    Refusal.PROTOCOL_VERSION, "unsupported protocol version " + hello.getProtocolVersion());
        }
        if (hello.getNode().isEmpty()) {
            throw new LinkProtocolException(Refusal.MALFORMED, "hello without a node name");
        }
        return new LinkIdentity(hello.getNode(), hello.getIncarnation());
    }

    static Frame ping() {
        return PING;
    }

    static Frame pong(final long stampMs) {
        return Frame.newBuilder().setPong(Pong.newBuilder().setStamp(stampMs)).build();
    }

    static Frame of(final Control control) {
        return Frame.newBuilder().setControl(control).build();
    }

    static Frame of(final CallStart start) {
        return Frame.newBuilder().setCallStart(start).build();
    }

    static Frame of(final CallEnd end) {
        return Frame.newBuilder().setCallEnd(end).build();
    }

    static Frame of(final CallState state) {
        return Frame.newBuilder().setCallState(state).build();
    }

    static Frame cancel(final String callId, final long remainingMs) {
        return Frame.newBuilder()
                .setCallCancel(CallCancel.newBuilder().setCallId(callId).setRemainingMs(remainingMs))
                .build();
    }

    static Frame query(final long number, final String callId, final long remainingMs, final boolean withdraw) {
        return Frame.newBuilder()
                .setCallQuery(CallQuery.newBuilder()
                        .setNumber(number)
                        .setCallId(callId)
                        .setRemainingMs(remainingMs)
                        .setWithdraw(withdraw))
                .build();
    }

    static boolean isCall(final Frame frame) {
        return switch (frame.getContentCase()) {
            case CALL_START, CALL_END, CALL_CANCEL, CALL_QUERY, CALL_STATE, CALL_ACKNOWLEDGE -> true;
            default -> false;
        };
    }

    static int encodedBytes(final Frame frame) {
        return LENGTH_BYTES + frame.getSerializedSize();
    }
}
