package org.sequoiashunt.link;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.sequoiashunt.link.wire.MembershipProto;
import org.sequoiashunt.membership.IndirectProbe;
import org.sequoiashunt.membership.JoinAnswer;
import org.sequoiashunt.membership.JoinRequest;
import org.sequoiashunt.membership.Probe;
import org.sequoiashunt.membership.ProbeAnswer;
import org.sequoiashunt.membership.StatusReport;
import org.sequoiashunt.peer.ControlMessage;

/** Codec of the control messages of membership. Stateless and thread-safe. */
public final class MembershipCodec implements ControlCodec {

    private static final int SUBJECT = 2;

    @Override
    public int subject() {
        return SUBJECT;
    }

    @Override
    public boolean handles(final ControlMessage message) {
        return message instanceof Probe
                || message instanceof IndirectProbe
                || message instanceof ProbeAnswer
                || message instanceof JoinRequest
                || message instanceof JoinAnswer
                || message instanceof StatusReport;
    }

    @Override
    public ByteString encode(final ControlMessage message) {
        MembershipProto.Membership.Builder builder = MembershipProto.Membership.newBuilder();
        if (message instanceof Probe probe) {
            builder.setProbe(encode(probe));
        } else if (message instanceof IndirectProbe probe) {
            builder.setIndirectProbe(encode(probe));
        } else if (message instanceof ProbeAnswer answer) {
            builder.setProbeAnswer(encode(answer));
        } else if (message instanceof JoinRequest request) {
            builder.setJoinRequest(
                    MembershipProto.JoinRequest.newBuilder().setReplyTo(MemberCodec.encode(request.replyTo())));
        } else if (message instanceof JoinAnswer answer) {
            builder.setJoinAnswer(encode(answer));
        } else {
            builder.setStatusReport(encode((StatusReport) message));
        }
        return builder.build().toByteString();
    }

    @Override
    public ControlMessage decode(final ByteString payload) throws InvalidProtocolBufferException {
        MembershipProto.Membership message = MembershipProto.Membership.parseFrom(payload);
        return switch (message.getContentCase()) {
            case PROBE -> decode(message.getProbe());
            case INDIRECT_PROBE -> decode(message.getIndirectProbe());
            case PROBE_ANSWER -> decode(message.getProbeAnswer());
            case JOIN_REQUEST ->
                new JoinRequest(MemberCodec.decode(message.getJoinRequest().getReplyTo()));
            case JOIN_ANSWER -> decode(message.getJoinAnswer());
            case STATUS_REPORT -> decode(message.getStatusReport());
            default ->
                throw new IllegalArgumentException("membership payload has no message or one of an unknown type");
        };
    }

    private static MembershipProto.Probe encode(final Probe probe) {
        return MembershipProto.Probe.newBuilder()
                .setNumber(probe.number())
                .setReplyTo(MemberCodec.encode(probe.replyTo()))
                .build();
    }

    private static Probe decode(final MembershipProto.Probe probe) {
        return new Probe(probe.getNumber(), MemberCodec.decode(probe.getReplyTo()));
    }

    private static MembershipProto.IndirectProbe encode(final IndirectProbe probe) {
        return MembershipProto.IndirectProbe.newBuilder()
                .setNumber(probe.number())
                .setMember(probe.member())
                .setAddress(MemberCodec.encode(probe.address()))
                .setReplyTo(MemberCodec.encode(probe.replyTo()))
                .build();
    }

    private static IndirectProbe decode(final MembershipProto.IndirectProbe probe) {
        return new IndirectProbe(
                probe.getNumber(),
                probe.getMember(),
                MemberCodec.decode(probe.getAddress()),
                MemberCodec.decode(probe.getReplyTo()));
    }

    private static MembershipProto.ProbeAnswer encode(final ProbeAnswer answer) {
        return MembershipProto.ProbeAnswer.newBuilder()
                .setNumber(answer.number())
                .setMember(answer.member())
                .build();
    }

    private static ProbeAnswer decode(final MembershipProto.ProbeAnswer answer) {
        return new ProbeAnswer(answer.getNumber(), answer.getMember());
    }

    private static MembershipProto.JoinAnswer encode(final JoinAnswer answer) {
        return MembershipProto.JoinAnswer.newBuilder()
                .setReady(answer.ready())
                .setStoreRead(answer.storeRead())
                .setConfigurationVersion(answer.configurationVersion())
                .build();
    }

    private static JoinAnswer decode(final MembershipProto.JoinAnswer answer) {
        return new JoinAnswer(answer.getReady(), answer.getStoreRead(), answer.getConfigurationVersion());
    }

    private static MembershipProto.StatusReport encode(final StatusReport report) {
        return MembershipProto.StatusReport.newBuilder()
                .setConfigurationVersion(report.configurationVersion())
                .setRefusal(report.refusal())
                .build();
    }

    private static StatusReport decode(final MembershipProto.StatusReport report) {
        return new StatusReport(report.getConfigurationVersion(), report.getRefusal());
    }
}
