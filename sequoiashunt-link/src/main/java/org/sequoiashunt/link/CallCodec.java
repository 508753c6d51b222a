package org.sequoiashunt.link;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import java.util.List;
import java.util.Optional;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.CallUrgency;
import org.sequoiashunt.call.HeaderField;
import org.sequoiashunt.call.Outcome;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.link.wire.FrameProto;

/**
 * Converts calls and results to and from frames.
 *
 * <p>Stateless and thread-safe. Invariant: a body whose length differs from the announced length is refused.
 */
final class CallCodec {

    /** Bounds the memory of records of calls, which contain identities that peers have chosen, in characters. */
    static final int MAXIMUM_CALL_ID_LENGTH = 512;

    private CallCodec() {}

    /**
     * Checks the length of a received call identity.
     *
     * @throws LinkProtocolException if it exceeds the limit.
     */
    static void requireCallId(final String callId) throws LinkProtocolException {
        if (callId.length() > MAXIMUM_CALL_ID_LENGTH) {
            throw new LinkProtocolException(Refusal.MALFORMED, "call identity of " + callId.length() + " characters");
        }
    }

    static FrameProto.CallStart encode(
            final long number, final CallRequest request, final FrameProto.Freshness freshness) {
        FrameProto.CallStart.Builder builder = FrameProto.CallStart.newBuilder()
                .setNumber(number)
                .setCallId(request.callId())
                .setFreshness(freshness)
                .setService(request.service())
                .setRoute(request.route())
                .setTargetVersion(request.targetVersion())
                .setTarget(request.target())
                .setMethod(request.method())
                .setUri(request.uri())
                .setIdempotent(request.idempotent())
                .setBodyLength(request.body().length())
                .setBody(bytes(request.body()))
                .setRank(request.urgency().rank())
                .setObjectiveRemainingMs(
                        freshness.getRemainingMs() + request.urgency().objectiveMs() - request.deadlineMs())
                .setRepeated(request.repeated())
                .setOrganisation(request.organisation());
        request.headers().forEach(header -> builder.addHeaders(encode(header)));
        request.idempotencyKey().ifPresent(builder::setKey);
        return builder.build();
    }

    static CallRequest decode(final FrameProto.CallStart start, final long deadlineMs) throws LinkProtocolException {
        requireLength(start.getBodyLength(), start.getBody());
        return new CallRequest(
                start.getCallId(),
                start.getService(),
                start.getRoute(),
                start.getTargetVersion(),
                start.getTarget(),
                start.getMethod(),
                start.getUri(),
                decode(start.getHeadersList()),
                body(start.getBody()),
                start.getIdempotent(),
                start.hasKey() ? Optional.of(start.getKey()) : Optional.empty(),
                deadlineMs,
                urgency(start, deadlineMs),
                start.getRepeated(),
                start.getOrganisation());
    }

    static FrameProto.CallEnd encode(final long number, final String callId, final CallResult result) {
        FrameProto.CallEnd.Builder builder = FrameProto.CallEnd.newBuilder()
                .setNumber(number)
                .setCallId(callId)
                .setOutcome(EnumCodec.encode(result.outcome()))
                .setReason(EnumCodec.encode(result.reason()))
                .setLoad(result.load())
                .setWaitMs(result.expectedWaitMs());
        result.response().ifPresent(answer -> encode(answer, builder));
        return builder.build();
    }

    static CallResult decode(final FrameProto.CallEnd end) throws LinkProtocolException {
        requireLength(end.getBodyLength(), end.getBody());
        try {
            Outcome outcome = EnumCodec.decode(Outcome.values(), end.getOutcome());
            Reason reason = EnumCodec.decode(Reason.values(), end.getReason());
            Optional<CallResponse> answer = outcome == Outcome.COMPLETE ? Optional.of(answer(end)) : Optional.empty();
            return new CallResult(outcome, reason, answer, end.getLoad(), end.getWaitMs());
        } catch (IllegalArgumentException exception) {
            throw new LinkProtocolException(Refusal.MALFORMED, "invalid result of a call", exception);
        }
    }

    /** Keeps the difference between objective and deadline, because the deadline accounts for the age of the frame. */
    private static CallUrgency urgency(final FrameProto.CallStart start, final long deadlineMs) {
        long distanceMs = start.getFreshness().getRemainingMs() - start.getObjectiveRemainingMs();
        return new CallUrgency(Math.max(0, start.getRank()), deadlineMs - distanceMs);
    }

    private static void encode(final CallResponse answer, final FrameProto.CallEnd.Builder builder) {
        builder.setStatus(answer.status()).setBodyLength(answer.body().length()).setBody(bytes(answer.body()));
        answer.headers().forEach(header -> builder.addHeaders(encode(header)));
    }

    private static CallResponse answer(final FrameProto.CallEnd end) {
        return new CallResponse(end.getStatus(), decode(end.getHeadersList()), body(end.getBody()));
    }

    private static FrameProto.Header encode(final HeaderField header) {
        return FrameProto.Header.newBuilder()
                .setName(header.name())
                .setValue(header.value())
                .build();
    }

    private static List<HeaderField> decode(final List<FrameProto.Header> headers) {
        return headers.stream()
                .map(header -> new HeaderField(header.getName(), header.getValue()))
                .toList();
    }

    private static ByteString bytes(final Body body) {
        return UnsafeByteOperations.unsafeWrap(body.bytes());
    }

    private static Body body(final ByteString bytes) {
        return Body.of(bytes.toByteArray());
    }

    private static void requireLength(final int announced, final ByteString body) throws LinkProtocolException {
        if (announced != body.size()) {
            throw new LinkProtocolException(
                    Refusal.WRONG_LENGTH, "body of " + body.size() + " bytes announced as " + announced);
        }
    }
}
