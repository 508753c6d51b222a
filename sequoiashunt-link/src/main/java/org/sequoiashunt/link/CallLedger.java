package org.sequoiashunt.link;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.link.CallRecord.Phase;

/**
 * What the running side of the protocol knows about calls: running, done with the answer retained, or revoked.
 *
 * <p>A call may lose its connection and be asked after on another one. The ledger answers from here, and the call is
 * never run twice. A call of which nothing is known is revoked by the question itself: should the old connection still
 * deliver it, it is refused. Answers are retained until acknowledged, until the call's deadline, or until their bytes
 * exceed the bound; then the call counts as lost, which its sender must report as unknown.
 *
 * <p>Thread-safe; all state stands under the lock of the ledger, and nothing outside is called under it. Invariants: a
 * call identity is admitted at most once while it is remembered; a revoked call is never admitted before its deadline.
 */
final class CallLedger {

    private final long retainedBytesLimit;
    private final int callLimit;
    private final Map<String, CallRecord> records = new HashMap<>();
    private final Deque<CallRecord> ended = new ArrayDeque<>();
    private long retainedBytes;

    CallLedger(final long retainedBytesLimit, final int callLimit) {
        this.retainedBytesLimit = retainedBytesLimit;
        this.callLimit = callLimit;
    }

    /**
     * Admits a call that arrived.
     *
     * @param callId the identity of the call.
     * @param number the number under which the sender knows it.
     * @param forgetMs when its deadline has passed for certain.
     * @param receiver where to send the result.
     * @return whether to run it, never null.
     */
    synchronized CallAdmission admit(
            final String callId, final long number, final long forgetMs, final ResultReceiver receiver) {
        CallRecord known = records.get(callId);
        if (known != null) {
            return known.is(Phase.REVOKED) ? CallAdmission.REVOKED : CallAdmission.KNOWN;
        }
        if (records.size() >= callLimit) {
            return CallAdmission.FULL;
        }
        CallRecord created = CallRecord.running(callId, forgetMs);
        created.attach(number, receiver);
        records.put(callId, created);
        return CallAdmission.RUN;
    }

    /**
     * Notes the execution of an admitted call, so that it can be cancelled.
     *
     * @param callId the identity of the call.
     * @param execution completes when the call ends.
     * @return true if the call has been cancelled in the meantime; the caller then cancels the execution.
     */
    synchronized boolean started(final String callId, final CompletableFuture<CallResult> execution) {
        CallRecord known = records.get(callId);
        if (known == null || !known.is(Phase.RUNNING)) {
            return false;
        }
        known.started(execution);
        return known.isCancelled();
    }

    /**
     * Notes how a call ended and retains the result.
     *
     * @param callId the identity of the call.
     * @param result how it ended.
     * @return where to send the result, or empty if the call is not running.
     */
    synchronized Optional<ResultDelivery> end(final String callId, final CallResult result) {
        CallRecord known = records.get(callId);
        if (known == null || !known.is(Phase.RUNNING)) {
            return Optional.empty();
        }
        ResultDelivery delivery = known.end(result);
        retainedBytes += known.bytes();
        ended.addLast(known);
        releaseOldest();
        return Optional.of(delivery);
    }

    /**
     * Answers a question about a call and revokes it if it is not known.
     *
     * @param callId the identity of the call.
     * @param number the number under which the sender knows it.
     * @param forgetMs when its deadline has passed for certain.
     * @param receiver where to send the result if the call is running.
     * @return what is known, never null.
     */
    synchronized CallStatus ask(
            final String callId, final long number, final long forgetMs, final ResultReceiver receiver) {
        CallRecord known = records.get(callId);
        if (known == null) {
            return revoke(callId, forgetMs) ? CallStatus.of(CallStatus.State.NOT_RECEIVED) : lost();
        }
        known.rememberUntil(forgetMs);
        switch (known.phase()) {
            case RUNNING:
                known.attach(number, receiver);
                return CallStatus.of(CallStatus.State.RUNNING);
            case DONE:
                return CallStatus.done(known.result());
            case REVOKED:
                return CallStatus.of(CallStatus.State.NOT_RECEIVED);
            default:
                return lost();
        }
    }

    /**
     * Cancels a call, or revokes it if it is not known.
     *
     * @param callId the identity of the call.
     * @param forgetMs when its deadline has passed for certain.
     * @return the execution to cancel, or empty if there is none.
     */
    synchronized Optional<CompletableFuture<CallResult>> cancel(final String callId, final long forgetMs) {
        CallRecord known = records.get(callId);
        if (known == null) {
            revoke(callId, forgetMs);
            return Optional.empty();
        }
        return Optional.ofNullable(known.cancel());
    }

    synchronized void acknowledge(final Collection<String> callIds) {
        for (String callId : callIds) {
            CallRecord known = records.get(callId);
            if (known != null && known.is(Phase.DONE)) {
                release(known);
                records.remove(callId);
            }
        }
    }

    synchronized void expire(final long nowMs) {
        Iterator<CallRecord> iterator = records.values().iterator();
        while (iterator.hasNext()) {
            CallRecord known = iterator.next();
            if (known.isForgettable(nowMs)) {
                release(known);
                iterator.remove();
            }
        }
        ended.removeIf(known -> !known.is(Phase.DONE));
    }

    /**
     * Counts the calls that run or whose result is retained for its receiver.
     *
     * @return the number of calls.
     */
    synchronized int outstanding() {
        return (int) records.values().stream()
                .filter(known -> known.is(Phase.RUNNING) || known.is(Phase.DONE))
                .count();
    }

    synchronized int size() {
        return records.size();
    }

    synchronized long retainedBytes() {
        return retainedBytes;
    }

    private boolean revoke(final String callId, final long forgetMs) {
        if (records.size() >= callLimit) {
            return false;
        }
        records.put(callId, CallRecord.revoked(callId, forgetMs));
        return true;
    }

    private void releaseOldest() {
        while (retainedBytes > retainedBytesLimit && !ended.isEmpty()) {
            release(ended.removeFirst());
        }
    }

    private void release(final CallRecord known) {
        if (known.is(Phase.DONE)) {
            retainedBytes -= known.bytes();
            known.lose();
        }
    }

    private static CallStatus lost() {
        return CallStatus.of(CallStatus.State.LOST);
    }
}
