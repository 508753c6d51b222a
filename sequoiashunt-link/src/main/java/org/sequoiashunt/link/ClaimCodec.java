package org.sequoiashunt.link;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.execution.ClaimKey;
import org.sequoiashunt.execution.ClaimOutcome;
import org.sequoiashunt.execution.ClaimRelease;
import org.sequoiashunt.execution.ClaimReply;
import org.sequoiashunt.execution.ClaimRequest;
import org.sequoiashunt.execution.ClaimVerdict;
import org.sequoiashunt.execution.GuardHeartbeat;
import org.sequoiashunt.execution.GuardHeartbeatReply;
import org.sequoiashunt.execution.RosterNotice;
import org.sequoiashunt.link.wire.ClaimProto;
import org.sequoiashunt.link.wire.FrameProto;
import org.sequoiashunt.peer.ControlMessage;

/** Codec of the control messages about claims and guards. Stateless and thread-safe. */
public final class ClaimCodec implements ControlCodec {

    private static final int SUBJECT = 3;

    @Override
    public int subject() {
        return SUBJECT;
    }

    @Override
    public boolean handles(final ControlMessage message) {
        return message instanceof ClaimRequest
                || message instanceof ClaimReply
                || message instanceof ClaimOutcome
                || message instanceof ClaimRelease
                || message instanceof GuardHeartbeat
                || message instanceof GuardHeartbeatReply
                || message instanceof RosterNotice;
    }

    @Override
    public ByteString encode(final ControlMessage message) {
        ClaimProto.Claim.Builder builder = ClaimProto.Claim.newBuilder();
        if (message instanceof ClaimRequest request) {
            builder.setGroup(request.group()).setRequest(encode(request));
        } else if (message instanceof ClaimReply reply) {
            builder.setGroup(reply.group()).setReply(encode(reply));
        } else if (message instanceof ClaimOutcome outcome) {
            builder.setGroup(outcome.group()).setOutcome(encode(outcome));
        } else if (message instanceof ClaimRelease release) {
            builder.setGroup(release.group()).setRelease(encode(release));
        } else if (message instanceof GuardHeartbeat heartbeat) {
            builder.setGroup(heartbeat.group()).setHeartbeat(heartbeat(heartbeat.epoch(), heartbeat.sentMs()));
        } else if (message instanceof GuardHeartbeatReply reply) {
            builder.setGroup(reply.group()).setHeartbeatReply(heartbeat(reply.epoch(), reply.sentMs()));
        } else {
            builder.setRoster(EntryCodec.encode(((RosterNotice) message).roster()));
        }
        return builder.build().toByteString();
    }

    @Override
    public ControlMessage decode(final ByteString payload) throws InvalidProtocolBufferException {
        ClaimProto.Claim message = ClaimProto.Claim.parseFrom(payload);
        String group = message.getGroup();
        return switch (message.getContentCase()) {
            case REQUEST -> decode(group, message.getRequest());
            case REPLY -> decode(group, message.getReply());
            case OUTCOME -> decode(group, message.getOutcome());
            case RELEASE -> decode(group, message.getRelease());
            case HEARTBEAT ->
                new GuardHeartbeat(
                        group,
                        message.getHeartbeat().getEpoch(),
                        message.getHeartbeat().getSentMs());
            case HEARTBEAT_REPLY ->
                new GuardHeartbeatReply(
                        group,
                        message.getHeartbeatReply().getEpoch(),
                        message.getHeartbeatReply().getSentMs());
            case ROSTER -> new RosterNotice(EntryCodec.decode(message.getRoster()));
            default -> throw new IllegalArgumentException("claim payload has no message or one of an unknown type");
        };
    }

    private static ClaimProto.ClaimRequest encode(final ClaimRequest request) {
        return ClaimProto.ClaimRequest.newBuilder()
                .setEpoch(request.epoch())
                .setKey(encode(request.key()))
                .setAttempt(request.attempt())
                .setRemainingMs(request.remainingMs())
                .build();
    }

    private static ClaimRequest decode(final String group, final ClaimProto.ClaimRequest request) {
        return new ClaimRequest(
                group, request.getEpoch(), decode(request.getKey()), request.getAttempt(), request.getRemainingMs());
    }

    private static ClaimProto.ClaimReply encode(final ClaimReply reply) {
        ClaimProto.ClaimReply.Builder builder = ClaimProto.ClaimReply.newBuilder()
                .setEpoch(reply.epoch())
                .setKey(encode(reply.key()))
                .setAttempt(reply.attempt())
                .setVerdict(EnumCodec.encode(reply.verdict()));
        reply.result().ifPresent(result -> builder.setResult(encode(result)));
        return builder.build();
    }

    private static ClaimReply decode(final String group, final ClaimProto.ClaimReply reply)
            throws InvalidProtocolBufferException {
        return new ClaimReply(
                group,
                reply.getEpoch(),
                decode(reply.getKey()),
                reply.getAttempt(),
                EnumCodec.decode(ClaimVerdict.values(), reply.getVerdict()),
                reply.hasResult() ? Optional.of(decode(reply.getResult())) : Optional.empty());
    }

    private static ClaimProto.ClaimOutcome encode(final ClaimOutcome outcome) {
        return ClaimProto.ClaimOutcome.newBuilder()
                .setKey(encode(outcome.key()))
                .setAttempt(outcome.attempt())
                .setResult(encode(outcome.result()))
                .build();
    }

    private static ClaimOutcome decode(final String group, final ClaimProto.ClaimOutcome outcome)
            throws InvalidProtocolBufferException {
        return new ClaimOutcome(group, decode(outcome.getKey()), outcome.getAttempt(), decode(outcome.getResult()));
    }

    private static ClaimProto.ClaimRelease encode(final ClaimRelease release) {
        return ClaimProto.ClaimRelease.newBuilder()
                .setKey(encode(release.key()))
                .setAttempt(release.attempt())
                .build();
    }

    private static ClaimRelease decode(final String group, final ClaimProto.ClaimRelease release) {
        return new ClaimRelease(group, decode(release.getKey()), release.getAttempt());
    }

    private static ClaimProto.GuardHeartbeat heartbeat(final long epoch, final long sentMs) {
        return ClaimProto.GuardHeartbeat.newBuilder()
                .setEpoch(epoch)
                .setSentMs(sentMs)
                .build();
    }

    private static ClaimProto.ClaimKey encode(final ClaimKey key) {
        return ClaimProto.ClaimKey.newBuilder()
                .setHigh(key.high())
                .setLow(key.low())
                .build();
    }

    private static ClaimKey decode(final ClaimProto.ClaimKey key) {
        return new ClaimKey(key.getHigh(), key.getLow());
    }

    private static FrameProto.CallEnd encode(final CallResult result) {
        return CallCodec.encode(0, "", result);
    }

    private static CallResult decode(final FrameProto.CallEnd result) throws InvalidProtocolBufferException {
        try {
            return CallCodec.decode(result);
        } catch (LinkProtocolException exception) {
            throw new InvalidProtocolBufferException(exception);
        }
    }
}
