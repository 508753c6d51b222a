package org.sequoiashunt.link;

import java.util.concurrent.CompletableFuture;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.HeaderField;

/**
 * State and result of one call in a {@link CallLedger}. Guarded by the lock of the ledger.
 */
final class CallRecord {

    /** Memory of a record without the answer. */
    private static final long RECORD_OVERHEAD_BYTES = 256;

    private final String callId;
    private Phase phase;
    private long forgetAfterMs;
    private long number;
    private ResultReceiver receiver;
    private CompletableFuture<CallResult> execution;
    private boolean cancelled;
    private CallResult result;
    private long bytes;
    private ResultReceiver requestOwner;
    private long requestBytes;

    private CallRecord(final String callId, final Phase phase, final long forgetAfterMs) {
        this.callId = callId;
        this.phase = phase;
        this.forgetAfterMs = forgetAfterMs;
    }

    static CallRecord running(final String callId, final long forgetAfterMs) {
        return new CallRecord(callId, Phase.RUNNING, forgetAfterMs);
    }

    static CallRecord revoked(final String callId, final long forgetAfterMs) {
        return new CallRecord(callId, Phase.REVOKED, forgetAfterMs);
    }

    Phase phase() {
        return phase;
    }

    boolean hasPhase(final Phase other) {
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

    void chargeRequest(final ResultReceiver owner, final long newRequestBytes) {
        requestOwner = owner;
        requestBytes = newRequestBytes;
    }

    ResultReceiver requestOwner() {
        return requestOwner;
    }

    long requestBytes() {
        return requestBytes;
    }

    boolean isAttachedTo(final ResultReceiver other) {
        return receiver == other;
    }

    void retainUntil(final long timeMs) {
        forgetAfterMs = Math.max(forgetAfterMs, timeMs);
    }

    boolean isExpired(final long nowMs) {
        return phase != Phase.RUNNING && forgetAfterMs < nowMs;
    }

    void setExecution(final CompletableFuture<CallResult> newExecution) {
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
        requestOwner = null;
        ResultDelivery delivery = new ResultDelivery(receiver, number, callId, newResult);
        phase = Phase.DONE;
        result = newResult;
        bytes = RECORD_OVERHEAD_BYTES
                + newResult.response().map(CallRecord::sizeOf).orElse(0L);
        execution = null;
        receiver = null;
        return delivery;
    }

    void discardResult() {
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

    /** State of a call in the ledger. Immutable and thread-safe. */
    enum Phase {
        /** The call is running. */
        RUNNING,
        /** The call has ended and its result is retained. */
        DONE,
        /** The call has ended and its result is not retained. */
        LOST,
        /** The call was queried or cancelled before it arrived and is never run. */
        REVOKED
    }
}
