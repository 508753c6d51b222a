package org.sequoiashunt.link;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import org.sequoiashunt.call.CallHandler;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.link.wire.FrameProto.CallAcknowledge;
import org.sequoiashunt.link.wire.FrameProto.CallCancel;
import org.sequoiashunt.link.wire.FrameProto.CallQuery;
import org.sequoiashunt.link.wire.FrameProto.CallStart;
import org.sequoiashunt.link.wire.FrameProto.CallState;
import org.sequoiashunt.time.Clock;

/**
 * Runs the calls received from peers, each at most once, and answers queries and cancellations.
 *
 * <p>Thread-safe: all mutable state is in the {@link CallLedger}. Invariant: a call is not run if it is older than the
 * maximum frame age, if its deadline has passed, or if its sender received the answer that it is not run.
 */
final class ServedCalls {

    /** Upper limit of the remaining time that a sender can request for a call. */
    private static final long MAXIMUM_CALL_MS = 3_600_000;

    private final CallLedger ledger;
    private final CallHandler handler;
    private final LinkLimits limits;
    private final Clock clock;
    private final LinkCounters counters;

    ServedCalls(final CallHandler handler, final LinkLimits limits, final Clock clock, final LinkCounters counters) {
        this.ledger = new CallLedger(
                limits.maximumRetainedBytes(), limits.maximumRetainedCalls(), limits.maximumRequestBytes());
        this.handler = Objects.requireNonNull(handler, "handler");
        this.limits = limits;
        this.clock = clock;
        this.counters = counters;
    }

    /**
     * Runs a received call unless it is stale, past its deadline, a duplicate, revoked, or the ledger is full.
     *
     * @param start the call.
     * @param receiver where to send the result.
     * @throws LinkProtocolException if the body is truncated or the identity too long; the call is then not run.
     */
    void start(final CallStart start, final ResultReceiver receiver) throws LinkProtocolException {
        CallCodec.requireCallId(start.getCallId());
        long nowMs = clock.nowMs();
        long remainingMs = remainingMs(start.getFreshness().getRemainingMs());
        FrameAge age = FrameAge.of(
                nowMs, start.getFreshness().getStamp(), start.getFreshness().getStampAgeMs());
        CallRequest request = CallCodec.decode(start, age.deadlineMs(nowMs, remainingMs));
        if (age.exceeds(limits.maximumFrameAgeMs()) || request.deadlineMs() <= nowMs) {
            counters.countRefusal(Refusal.STALE);
            receiver.callEnded(start.getNumber(), request.callId(), CallResult.notRun(Reason.DEADLINE));
            return;
        }
        CallAdmission admission = ledger.admit(
                request.callId(),
                start.getNumber(),
                nowMs + remainingMs,
                receiver,
                request.body().length());
        if (admission == CallAdmission.RUN) {
            run(request);
        } else {
            refuse(admission, start.getNumber(), request.callId(), receiver);
        }
    }

    /**
     * Answers a query for a call. A call that was not received is revoked; a running call is withdrawn if the query
     * asks for that.
     *
     * @param query the query.
     * @param receiver receives the result at once if the call has ended, otherwise when it ends.
     * @return the state to report, or empty if the result was sent to the receiver.
     * @throws LinkProtocolException if the identity is too long.
     */
    Optional<CallState> query(final CallQuery query, final ResultReceiver receiver) throws LinkProtocolException {
        CallCodec.requireCallId(query.getCallId());
        if (query.getWithdraw()) {
            handler.withdrawCall(query.getCallId());
        }
        CallStatus callStatus = ledger.queryOrRevoke(
                query.getCallId(), query.getNumber(), clock.nowMs() + remainingMs(query.getRemainingMs()), receiver);
        if (callStatus.result().isPresent()) {
            receiver.callEnded(
                    query.getNumber(), query.getCallId(), callStatus.result().get());
            return Optional.empty();
        }
        return Optional.of(CallState.newBuilder()
                .setNumber(query.getNumber())
                .setCallId(query.getCallId())
                .setState(toWireState(callStatus.state()))
                .build());
    }

    void cancel(final CallCancel cancel) throws LinkProtocolException {
        CallCodec.requireCallId(cancel.getCallId());
        ledger.cancel(cancel.getCallId(), clock.nowMs() + remainingMs(cancel.getRemainingMs()))
                .ifPresent(execution -> execution.cancel(true));
    }

    /**
     * Withdraws the running calls whose results would be sent to a closed connection: their sender has not resumed them
     * and may have ended.
     *
     * @param receiver the receiver of results that was closed.
     */
    void withdrawAbandoned(final ResultReceiver receiver) {
        ledger.runningCallsOf(receiver).forEach(handler::withdrawCall);
    }

    void acknowledge(final CallAcknowledge acknowledge) {
        ledger.acknowledge(acknowledge.getCallIdsList());
    }

    void expire() {
        ledger.expire(clock.nowMs());
    }

    int outstandingCalls() {
        return ledger.outstandingCalls();
    }

    private void run(final CallRequest request) {
        CompletableFuture<CallResult> execution = handle(request);
        if (ledger.setExecution(request.callId(), execution)) {
            execution.cancel(true);
        }
        execution.whenComplete((result, failure) -> endCall(request.callId(), result, failure));
    }

    private CompletableFuture<CallResult> handle(final CallRequest request) {
        try {
            return Objects.requireNonNull(handler.handle(request), "execution");
        } catch (RuntimeException exception) {
            counters.countRefusal(Refusal.HANDLER_FAILED);
            return CompletableFuture.failedFuture(exception);
        }
    }

    private void endCall(final String callId, final CallResult result, final Throwable failure) {
        CallResult finalResult = result != null ? result : CallResult.unknown(unknownReason(failure));
        ledger.end(callId, finalResult).ifPresent(ResultDelivery::deliver);
    }

    private static Reason unknownReason(final Throwable failure) {
        return failure instanceof CancellationException ? Reason.CANCELLED : Reason.BAD_ANSWER;
    }

    private void refuse(
            final CallAdmission admission, final long number, final String callId, final ResultReceiver receiver) {
        switch (admission) {
            case FULL:
                counters.countRefusal(Refusal.LEDGER_FULL);
                receiver.callEnded(number, callId, CallResult.notRun(Reason.QUEUE_FULL));
                break;
            case REVOKED:
                counters.countRefusal(Refusal.REVOKED);
                receiver.callEnded(number, callId, CallResult.notRun(Reason.CANCELLED));
                break;
            default:
                ledger.queryOrRevoke(callId, number, clock.nowMs(), receiver)
                        .result()
                        .ifPresent(result -> receiver.callEnded(number, callId, result));
                break;
        }
    }

    private static long remainingMs(final long requestedMs) {
        return Math.max(0, Math.min(requestedMs, MAXIMUM_CALL_MS));
    }

    private static CallState.State toWireState(final CallStatus.State state) {
        return switch (state) {
            case NOT_RECEIVED -> CallState.State.NOT_RECEIVED;
            case RUNNING -> CallState.State.RUNNING;
            default -> CallState.State.LOST;
        };
    }
}
