package org.sequoiashunt.link;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sequoiashunt.call.CallAnswer;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.HeaderField;

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

    /** What a call takes up besides its answer. */
    private static final long RECORD_BYTES = 256;

    private final long retainedBytesLimit;
    private final int callLimit;
    private final Map<String, Record> records = new HashMap<>();
    private final Deque<Record> ended = new ArrayDeque<>();
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
    synchronized Admission admit(
            final String callId, final long number, final long forgetMs, final ResultReceiver receiver) {
        Record known = records.get(callId);
        if (known != null) {
            return known.phase == Phase.REVOKED ? Admission.REVOKED : Admission.KNOWN;
        }
        if (records.size() >= callLimit) {
            return Admission.FULL;
        }
        Record created = new Record(callId, Phase.RUNNING, forgetMs);
        created.attach(number, receiver);
        records.put(callId, created);
        return Admission.RUN;
    }

    /**
     * Notes the execution of an admitted call, so that it can be cancelled.
     *
     * @param callId the identity of the call.
     * @param execution completes when the call ends.
     * @return true if the call has been cancelled in the meantime; the caller then cancels the execution.
     */
    synchronized boolean started(final String callId, final CompletableFuture<CallResult> execution) {
        Record known = records.get(callId);
        if (known == null || known.phase != Phase.RUNNING) {
            return false;
        }
        known.execution = execution;
        return known.cancelled;
    }

    /**
     * Notes how a call ended and retains the result.
     *
     * @param callId the identity of the call.
     * @param result how it ended.
     * @return where to send the result, or empty if the call is not running.
     */
    synchronized Optional<Delivery> end(final String callId, final CallResult result) {
        Record known = records.get(callId);
        if (known == null || known.phase != Phase.RUNNING) {
            return Optional.empty();
        }
        known.phase = Phase.DONE;
        known.execution = null;
        known.result = result;
        known.bytes = sizeOf(result);
        retainedBytes += known.bytes;
        ended.addLast(known);
        Delivery delivery = new Delivery(known.receiver, known.number, callId, result);
        known.receiver = null;
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
    synchronized Standing ask(
            final String callId, final long number, final long forgetMs, final ResultReceiver receiver) {
        Record known = records.get(callId);
        if (known == null) {
            return revoke(callId, forgetMs) ? Standing.of(Standing.State.NOT_RECEIVED) : lost();
        }
        known.forgetMs = Math.max(known.forgetMs, forgetMs);
        switch (known.phase) {
            case RUNNING:
                known.attach(number, receiver);
                return Standing.of(Standing.State.RUNNING);
            case DONE:
                return new Standing(Standing.State.DONE, Optional.of(known.result));
            case REVOKED:
                return Standing.of(Standing.State.NOT_RECEIVED);
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
        Record known = records.get(callId);
        if (known == null) {
            revoke(callId, forgetMs);
            return Optional.empty();
        }
        known.cancelled = true;
        return Optional.ofNullable(known.execution);
    }

    synchronized void acknowledge(final Collection<String> callIds) {
        for (String callId : callIds) {
            Record known = records.get(callId);
            if (known != null && known.phase == Phase.DONE) {
                release(known);
                records.remove(callId);
            }
        }
    }

    synchronized void expire(final long nowMs) {
        Iterator<Record> iterator = records.values().iterator();
        while (iterator.hasNext()) {
            Record known = iterator.next();
            if (known.phase != Phase.RUNNING && known.forgetMs < nowMs) {
                release(known);
                iterator.remove();
            }
        }
        ended.removeIf(known -> known.phase != Phase.DONE);
    }

    /**
     * Counts the calls that run or whose result is retained for its receiver.
     *
     * @return the number of calls.
     */
    synchronized int outstanding() {
        return (int) records.values().stream()
                .filter(known -> known.phase == Phase.RUNNING || known.phase == Phase.DONE)
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
        records.put(callId, new Record(callId, Phase.REVOKED, forgetMs));
        return true;
    }

    private void releaseOldest() {
        while (retainedBytes > retainedBytesLimit && !ended.isEmpty()) {
            release(ended.removeFirst());
        }
    }

    private void release(final Record known) {
        if (known.phase == Phase.DONE) {
            retainedBytes -= known.bytes;
            known.phase = Phase.LOST;
            known.result = null;
        }
    }

    private static Standing lost() {
        return Standing.of(Standing.State.LOST);
    }

    private static long sizeOf(final CallResult result) {
        return RECORD_BYTES + result.answer().map(CallLedger::sizeOf).orElse(0L);
    }

    private static long sizeOf(final CallAnswer answer) {
        long bytes = answer.body().length();
        for (HeaderField header : answer.headers()) {
            bytes += header.name().length() + header.value().length();
        }
        return bytes;
    }

    /** Receives the result of a call. Implementations are thread-safe and never block. */
    @FunctionalInterface
    interface ResultReceiver {

        /**
         * Called once when the call has ended.
         *
         * @param number the number under which the sender knows the call.
         * @param callId the identity of the call.
         * @param result how it ended.
         */
        void callEnded(long number, String callId, CallResult result);
    }

    /**
     * Result together with its receiver. Immutable and thread-safe.
     *
     * @param receiver where to send the result.
     * @param number the number under which the sender knows the call.
     * @param callId the identity of the call.
     * @param result how it ended.
     */
    record Delivery(ResultReceiver receiver, long number, String callId, CallResult result) {

        void deliver() {
            receiver.callEnded(number, callId, result);
        }
    }

    /** Whether a call is run. Immutable and thread-safe. */
    enum Admission {
        /** The call is new and is to be run. */
        RUN,
        /** The call is running or has ended. */
        KNOWN,
        /** The sender was told that the call is not run. */
        REVOKED,
        /** Too many calls are remembered. */
        FULL
    }

    /**
     * What is known about a call. Immutable and thread-safe.
     *
     * @param state the state.
     * @param result how the call ended, present exactly if it is done.
     */
    record Standing(State state, Optional<CallResult> result) {

        static Standing of(final State state) {
            return new Standing(state, Optional.empty());
        }

        /** State of a call that was asked after. Immutable and thread-safe. */
        enum State {
            /** The call did not arrive and is never run. */
            NOT_RECEIVED,
            /** The call is running. */
            RUNNING,
            /** The call has ended and its result is at hand. */
            DONE,
            /** The call may have run and its result is not at hand. */
            LOST
        }
    }

    /** Phase of a call. Immutable and thread-safe. */
    private enum Phase {
        RUNNING,
        DONE,
        LOST,
        REVOKED
    }

    /** What is remembered about one call; guarded by the lock of the ledger. */
    private static final class Record {
        private final String callId;
        private Phase phase;
        private long forgetMs;
        private long number;
        private ResultReceiver receiver;
        private CompletableFuture<CallResult> execution;
        private boolean cancelled;
        private CallResult result;
        private long bytes;

        private Record(final String callId, final Phase phase, final long forgetMs) {
            this.callId = callId;
            this.phase = phase;
            this.forgetMs = forgetMs;
        }

        private void attach(final long newNumber, final ResultReceiver newReceiver) {
            number = newNumber;
            receiver = newReceiver;
        }

        @Override
        public String toString() {
            return callId + " " + phase;
        }
    }
}
