package org.sequoiashunt.link;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.link.CallRecord.Phase;

/**
 * Records the calls received by a node, so that none runs twice and results survive a lost connection.
 *
 * <p>When a connection is lost, its peer queries the calls it had sent on another connection, and the ledger answers
 * without running a call again. A query for an unrecorded call revokes it: if the old connection delivers the call
 * later, it is refused. A result is retained until it is acknowledged, until the deadline of the call, or until the
 * retained bytes exceed the limit. In the last case the call is reported as lost, which its sender must report as
 * unknown.
 *
 * <p>The requests of running calls share a memory limit. A quarter of it is reserved for connections that use little of
 * it, so that the requests of some peers do not displace those of all others.
 *
 * <p>Thread-safe; all state is guarded by the lock of the ledger, and no foreign code is called while it is held.
 * Invariants: a call identity is admitted at most once while it is recorded; a revoked call is never admitted before
 * its deadline.
 */
final class CallLedger {

    private final long maximumRetainedBytes;
    /** Part of the memory for requests that a connection may use of the reserve. */
    private static final int RESERVE_PARTS = 64;

    private final int maximumCalls;
    private final long maximumRequestBytes;
    private final Map<String, CallRecord> records = new HashMap<>();
    private final Deque<CallRecord> endedRecords = new ArrayDeque<>();
    private final Map<ResultReceiver, Long> requestBytes = new HashMap<>();
    private long totalRequestBytes;
    private long retainedBytes;

    CallLedger(final long maximumRetainedBytes, final int maximumCalls, final long maximumRequestBytes) {
        this.maximumRequestBytes = maximumRequestBytes;
        this.maximumRetainedBytes = maximumRetainedBytes;
        this.maximumCalls = maximumCalls;
    }

    /**
     * Decides whether a received call is run, and records it if so.
     *
     * @param callId the identity of the call.
     * @param number the number that the sender assigned to the call.
     * @param forgetAfterMs when the deadline of the call has passed for certain, in milliseconds of the local clock;
     *     the record may be removed after it.
     * @param receiver where to send the result.
     * @param bytes the length of the request's body.
     * @return the decision, never null.
     */
    synchronized CallAdmission admit(
            final String callId,
            final long number,
            final long forgetAfterMs,
            final ResultReceiver receiver,
            final long bytes) {
        CallRecord callRecord = records.get(callId);
        if (callRecord != null) {
            return callRecord.hasPhase(Phase.REVOKED) ? CallAdmission.REVOKED : CallAdmission.DUPLICATE;
        }
        if (records.size() >= maximumCalls || !hasRequestMemory(receiver, bytes)) {
            return CallAdmission.FULL;
        }
        CallRecord newRecord = CallRecord.running(callId, forgetAfterMs);
        newRecord.attach(number, receiver);
        newRecord.chargeRequest(receiver, bytes);
        totalRequestBytes += bytes;
        requestBytes.merge(receiver, bytes, Long::sum);
        records.put(callId, newRecord);
        return CallAdmission.RUN;
    }

    /**
     * Records the execution of an admitted call, so that it can be cancelled.
     *
     * @param callId the identity of the call.
     * @param execution completes when the call ends.
     * @return true if the call was cancelled before; the caller must then cancel the execution.
     */
    synchronized boolean setExecution(final String callId, final CompletableFuture<CallResult> execution) {
        CallRecord callRecord = records.get(callId);
        if (callRecord == null || !callRecord.hasPhase(Phase.RUNNING)) {
            return false;
        }
        callRecord.setExecution(execution);
        return callRecord.isCancelled();
    }

    /**
     * Ends a running call and retains its result.
     *
     * @param callId the identity of the call.
     * @param result the result.
     * @return where to send the result, or empty if the call is not running.
     */
    synchronized Optional<ResultDelivery> end(final String callId, final CallResult result) {
        CallRecord callRecord = records.get(callId);
        if (callRecord == null || !callRecord.hasPhase(Phase.RUNNING)) {
            return Optional.empty();
        }
        releaseRequest(callRecord);
        ResultDelivery delivery = callRecord.end(result);
        retainedBytes += callRecord.bytes();
        endedRecords.addLast(callRecord);
        discardOldestResults();
        return Optional.of(delivery);
    }

    /**
     * Returns the status of a call. A call that is not recorded is revoked; if the ledger is full and cannot record
     * that, the call is reported as lost.
     *
     * @param callId the identity of the call.
     * @param number the number that the sender assigned to the call.
     * @param forgetAfterMs when the deadline of the call has passed for certain, in milliseconds of the local clock;
     *     the record may be removed after it.
     * @param receiver where to send the result if the call is running.
     * @return the status, never null.
     */
    synchronized CallStatus queryOrRevoke(
            final String callId, final long number, final long forgetAfterMs, final ResultReceiver receiver) {
        CallRecord callRecord = records.get(callId);
        if (callRecord == null) {
            return revoke(callId, forgetAfterMs) ? CallStatus.of(CallStatus.State.NOT_RECEIVED) : lostStatus();
        }
        callRecord.retainUntil(forgetAfterMs);
        switch (callRecord.phase()) {
            case RUNNING:
                callRecord.attach(number, receiver);
                return CallStatus.of(CallStatus.State.RUNNING);
            case DONE:
                return CallStatus.done(callRecord.result());
            case REVOKED:
                return CallStatus.of(CallStatus.State.NOT_RECEIVED);
            default:
                return lostStatus();
        }
    }

    /**
     * Cancels a call, or revokes it if it is not recorded.
     *
     * @param callId the identity of the call.
     * @param forgetAfterMs when the deadline of the call has passed for certain, in milliseconds of the local clock;
     *     the record may be removed after it.
     * @return the execution to cancel, or empty if there is none.
     */
    synchronized Optional<CompletableFuture<CallResult>> cancel(final String callId, final long forgetAfterMs) {
        CallRecord callRecord = records.get(callId);
        if (callRecord == null) {
            revoke(callId, forgetAfterMs);
            return Optional.empty();
        }
        return Optional.ofNullable(callRecord.cancel());
    }

    /**
     * Lists the running calls whose results are to be sent to a receiver.
     *
     * @param receiver the receiver.
     * @return the identities of the calls, possibly empty.
     */
    synchronized List<String> runningCallsOf(final ResultReceiver receiver) {
        return records.entrySet().stream()
                .filter(entry -> entry.getValue().hasPhase(Phase.RUNNING)
                        && entry.getValue().isAttachedTo(receiver))
                .map(Map.Entry::getKey)
                .toList();
    }

    synchronized void acknowledge(final Collection<String> callIds) {
        for (String callId : callIds) {
            CallRecord callRecord = records.get(callId);
            if (callRecord != null && callRecord.hasPhase(Phase.DONE)) {
                discardResult(callRecord);
                records.remove(callId);
            }
        }
    }

    synchronized void expire(final long nowMs) {
        Iterator<CallRecord> iterator = records.values().iterator();
        while (iterator.hasNext()) {
            CallRecord callRecord = iterator.next();
            if (callRecord.isExpired(nowMs)) {
                discardResult(callRecord);
                iterator.remove();
            }
        }
        endedRecords.removeIf(callRecord -> !callRecord.hasPhase(Phase.DONE));
    }

    /**
     * Counts the calls that are running or whose result is retained.
     *
     * @return the number of calls.
     */
    synchronized int outstandingCalls() {
        return (int) records.values().stream()
                .filter(callRecord -> callRecord.hasPhase(Phase.RUNNING) || callRecord.hasPhase(Phase.DONE))
                .count();
    }

    synchronized int size() {
        return records.size();
    }

    synchronized long retainedBytes() {
        return retainedBytes;
    }

    private boolean hasRequestMemory(final ResultReceiver owner, final long bytes) {
        long ownBytes = requestBytes.getOrDefault(owner, 0L) + bytes;
        long reservedBytes = ownBytes <= maximumRequestBytes / RESERVE_PARTS ? 0 : maximumRequestBytes / 4;
        return totalRequestBytes + bytes <= maximumRequestBytes - reservedBytes;
    }

    private void releaseRequest(final CallRecord callRecord) {
        long bytes = callRecord.requestBytes();
        totalRequestBytes -= bytes;
        requestBytes.computeIfPresent(
                callRecord.requestOwner(), (owner, ownBytes) -> ownBytes == bytes ? null : ownBytes - bytes);
    }

    private boolean revoke(final String callId, final long forgetAfterMs) {
        if (records.size() >= maximumCalls) {
            return false;
        }
        records.put(callId, CallRecord.revoked(callId, forgetAfterMs));
        return true;
    }

    private void discardOldestResults() {
        while (retainedBytes > maximumRetainedBytes && !endedRecords.isEmpty()) {
            discardResult(endedRecords.removeFirst());
        }
    }

    private void discardResult(final CallRecord callRecord) {
        if (callRecord.hasPhase(Phase.DONE)) {
            retainedBytes -= callRecord.bytes();
            callRecord.discardResult();
        }
    }

    private static CallStatus lostStatus() {
        return CallStatus.of(CallStatus.State.LOST);
    }
}
