package org.sequoiashunt.link;

import java.util.concurrent.CompletableFuture;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.HeaderField;

/**
 * What a {@link CallLedger} remembers about one call; guarded by the lock of the ledger.
 */
final class CallRecord {

    /** What a call takes up besides its answer. */
    private static final long RECORD_BYTES = 256;

    private final String callId;
    private Phase phase;
    private long forgetMs;
    private long number;
    private ResultReceiver receiver;
    private CompletableFuture<CallResult> execution;
    private boolean cancelled;
    private CallResult result;
    private long bytes;

    private CallRecord(final String callId, final Phase phase, final long forgetMs) {
        this.callId = callId;
        this.phase = phase;
        this.forgetMs = forgetMs;
    }

    static CallRecord running(final String callId, final long forgetMs) {
        return new CallRecord(callId, Phase.RUNNING, forgetMs);
    }

    static CallRecord revoked(final String callId, final long forgetMs) {
        return new CallRecord(callId, Phase.REVOKED, forgetMs);
    }

    Phase phase() {
        return phase;
    }

    boolean is(final Phase other) {
        return phase == other;
    }

    CallResult result() {
        return result;
    }

    long bytes() {
        return bytes;
    }

    void attach(final long newNumber, final ResultReceiver newReceiver) {
        number = newNumber;
        receiver = newReceiver;
    }

    void rememberUntil(final long timeMs) {
        forgetMs = Math.max(forgetMs, timeMs);
    }

    boolean isForgettable(final long nowMs) {
        return phase != Phase.RUNNING && forgetMs < nowMs;
    }

    void started(final CompletableFuture<CallResult> newExecution) {
        execution = newExecution;
    }

    boolean isCancelled() {
        return cancelled;
    }

    CompletableFuture<CallResult> cancel() {
        cancelled = true;
        return execution;
    }

    ResultDelivery end(final CallResult newResult) {
        ResultDelivery delivery = new ResultDelivery(receiver, number, callId, newResult);
        phase = Phase.DONE;
        result = newResult;
        bytes = RECORD_BYTES + newResult.response().map(CallRecord::sizeOf).orElse(0L);
        execution = null;
        receiver = null;
        return delivery;
    }

    void lose() {
        phase = Phase.LOST;
        result = null;
        bytes = 0;
    }

    private static long sizeOf(final CallResponse answer) {
        long size = answer.body().length();
        for (HeaderField header : answer.headers()) {
            size += header.name().length() + header.value().length();
        }
        return size;
    }

    /** Phase of a call. Immutable and thread-safe. */
    enum Phase {
        /** The call is running. */
        RUNNING,
        /** The call has ended and its result is retained. */
        DONE,
        /** The call has ended and its result is not retained. */
        LOST,
        /** The call was not received and is never run. */
        REVOKED
    }
}
