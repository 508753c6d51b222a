package org.sequoiashunt.link;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Outcome;
import org.sequoiashunt.call.Reason;

/**
 * Tracks the calls sent over one link until each has ended exactly once.
 *
 * <p>A call waits until the link is open, is sent once, and ends when its result arrives, its deadline passes, or its
 * connection is not replaced in time. After a lost connection, the state of each sent call is queried on the next
 * connection to the same process. Methods that end calls complete their futures after releasing the lock.
 *
 * <p>Thread-safe; all state is guarded by the lock of this object. Invariants: a call is sent at most once; it ends
 * exactly once; it ends as {@link Outcome#NOT_RUN} only if it was never marked as sent or the gate reported so;
 * only a call that was sent takes a result, and only one that was queried on the current connection takes a state.
 */
final class InFlightCalls {

    /** Bounds the memory of a link whose peer is slow. */
    private static final int MAXIMUM_CALLS = 1_024;

    private static final AtomicLong LAST_CALL_NUMBER = new AtomicLong();

    private final long unsentTimeoutMs;
    private final long resumeTimeoutMs;
    private final Map<Long, InFlightCall> calls = new LinkedHashMap<>();
    private final Deque<InFlightCall> waiting = new ArrayDeque<>();
    private boolean retired;

    InFlightCalls(final LinkLimits limits) {
        this.unsentTimeoutMs = limits.unsentTimeoutMs();
        this.resumeTimeoutMs = limits.resumeTimeoutMs();
    }

    /**
     * Adds a call.
     *
     * @param request the call.
     * @param future completed when the call ends.
     * @param nowMs the current time in milliseconds.
     * @return the call, or empty if the link was retired and accepts no calls.
     */
    synchronized Optional<InFlightCall> add(
            final CallRequest request, final CompletableFuture<CallResult> future, final long nowMs) {
        if (retired) {
            return Optional.empty();
        }
        InFlightCall call = new InFlightCall(LAST_CALL_NUMBER.incrementAndGet(), request, future, nowMs);
        calls.put(call.number(), call);
        waiting.addLast(call);
        return Optional.of(call);
    }

    /**
     * Retires the link, which then accepts no further calls, if no call is in flight.
     *
     * @return true if the link is retired.
     */
    synchronized boolean retireIfEmpty() {
        retired = retired || calls.isEmpty();
        return retired;
    }

    synchronized boolean isEmpty() {
        return calls.isEmpty();
    }

    synchronized boolean isFull() {
        return calls.size() >= MAXIMUM_CALLS;
    }

    synchronized int size() {
        return calls.size();
    }

    /**
     * Removes and returns the oldest call that waits to be sent.
     *
     * @return the call, or empty if no call waits.
     */
    synchronized Optional<InFlightCall> nextWaiting() {
        InFlightCall call = waiting.pollFirst();
        while (call != null && !calls.containsKey(call.number())) {
            call = waiting.pollFirst();
        }
        return Optional.ofNullable(call);
    }

    /**
     * Marks a call as sent. Call this before the frame is written to the connection.
     *
     * @param call the call.
     * @param peer the process at the other end.
     * @return true if the caller must send the call, false if the call has ended or was sent before.
     */
    synchronized boolean markSent(final InFlightCall call, final LinkIdentity peer) {
        if (!calls.containsKey(call.number()) || call.isSent()) {
            return false;
        }
        call.markSent(peer);
        return true;
    }

    synchronized void markSentCallsLost(final long nowMs) {
        calls.values().forEach(call -> call.markLost(nowMs));
    }

    /**
     * Ends the lost calls that were sent to another process as unknown and returns the other lost calls, whose state is
     * to be queried on the new connection.
     *
     * @param peer the process at the other end of the new connection.
     * @return the calls to query, possibly empty.
     */
    List<InFlightCall> connectionOpened(final LinkIdentity peer) {
        end(call -> call.isLost() && !call.sentTo().equals(peer)
                ? Optional.of(CallResult.unknown(Reason.CONNECTION_FAILED))
                : Optional.empty());
        synchronized (this) {
            List<InFlightCall> lost =
                    calls.values().stream().filter(InFlightCall::isLost).toList();
            lost.forEach(InFlightCall::markQueried);
            return lost;
        }
    }

    /**
     * Checks that a received state answers a query of the current connection.
     *
     * @param number the number in the received frame.
     * @param callId the call identity in the received frame.
     * @throws LinkProtocolException if the number is that of another call, or the call was not queried.
     */
    synchronized void requireQueried(final long number, final String callId) throws LinkProtocolException {
        InFlightCall call = find(number, callId);
        if (call != null && !call.isQueried()) {
            throw new LinkProtocolException(Refusal.UNEXPECTED, "state of call " + callId + ", which was not queried");
        }
    }

    /**
     * Marks a lost call as resumed after the gate reported that it is running.
     *
     * @param number the number of the call.
     * @param callId the identity of the call.
     * @return true if the call is in flight and was lost.
     * @throws LinkProtocolException if the number is that of another call.
     */
    synchronized boolean markResumed(final long number, final String callId) throws LinkProtocolException {
        InFlightCall call = find(number, callId);
        boolean wasLost = call != null && call.isLost();
        if (wasLost) {
            call.markResumed();
        }
        return wasLost;
    }

    /**
     * Ends a call with the result received from the gate.
     *
     * @param number the number in the received frame.
     * @param callId the call identity in the received frame.
     * @param result the result.
     * @return true if the call was in flight.
     * @throws LinkProtocolException if the number is that of another call, or the call was not sent.
     */
    boolean end(final long number, final String callId, final CallResult result) throws LinkProtocolException {
        InFlightCall call;
        synchronized (this) {
            call = find(number, callId);
            calls.remove(number);
        }
        return call != null && call.future().complete(result);
    }

    /**
     * Ends every call that is past its deadline, waited too long to be sent, or stayed lost for too long.
     *
     * @param nowMs the current time in milliseconds.
     * @return the ended calls that had been sent, which the caller cancels at the gate; possibly empty.
     */
    List<InFlightCall> expire(final long nowMs) {
        return end(call -> expirationResult(call, nowMs)).stream()
                .filter(InFlightCall::isSent)
                .toList();
    }

    /**
     * Ends the calls that were not sent, as not run.
     *
     * @param reason the reason in their results.
     */
    void endUnsent(final Reason reason) {
        end(call -> call.isSent() ? Optional.empty() : Optional.of(CallResult.notRun(reason)));
    }

    /**
     * Withdraws a call: ends it as not run if it was not sent.
     *
     * @param callId the identity of the call.
     * @return the call if it was sent, so that the caller must withdraw it at the gate; otherwise empty.
     */
    Optional<InFlightCall> withdraw(final String callId) {
        end(call -> call.request().callId().equals(callId) && !call.isSent()
                ? Optional.of(CallResult.notRun(Reason.DRAINING))
                : Optional.empty());
        synchronized (this) {
            Optional<InFlightCall> sent = calls.values().stream()
                    .filter(call -> call.request().callId().equals(callId))
                    .findFirst();
            sent.ifPresent(InFlightCall::markWithdrawn);
            sent.ifPresent(InFlightCall::markQueried);
            return sent;
        }
    }

    /** Ends all calls and retires the link. */
    void close() {
        synchronized (this) {
            retired = true;
        }
        end(call -> Optional.of(
                call.isSent()
                        ? CallResult.unknown(Reason.CONNECTION_FAILED)
                        : CallResult.notRun(Reason.CONNECTION_FAILED)));
    }

    /**
     * Removes a call whose caller no longer waits for it.
     *
     * @param call the call.
     * @return true if the call was in flight and sent, so that the caller must cancel it at the gate.
     */
    synchronized boolean remove(final InFlightCall call) {
        waiting.remove(call);
        return calls.remove(call.number()) != null && call.isSent();
    }

    private Optional<CallResult> expirationResult(final InFlightCall call, final long nowMs) {
        if (call.request().deadlineMs() <= nowMs) {
            return Optional.of(
                    call.isSent() ? CallResult.unknown(Reason.DEADLINE) : CallResult.notRun(Reason.DEADLINE));
        }
        if (call.isUnsentFor(unsentTimeoutMs, nowMs)) {
            return Optional.of(CallResult.notRun(Reason.CONNECTION_FAILED));
        }
        return call.isLostFor(resumeTimeoutMs, nowMs)
                ? Optional.of(CallResult.unknown(Reason.CONNECTION_FAILED))
                : Optional.empty();
    }

    private List<InFlightCall> end(final Function<InFlightCall, Optional<CallResult>> decision) {
        List<InFlightCall> ended = new ArrayList<>();
        List<CallResult> results = new ArrayList<>();
        synchronized (this) {
            Iterator<InFlightCall> iterator = calls.values().iterator();
            while (iterator.hasNext()) {
                InFlightCall call = iterator.next();
                Optional<CallResult> result = decision.apply(call);
                if (result.isPresent()) {
                    iterator.remove();
                    waiting.remove(call);
                    ended.add(call);
                    results.add(result.get());
                }
            }
        }
        for (int index = 0; index < ended.size(); index++) {
            ended.get(index).future().complete(results.get(index));
        }
        return ended;
    }

    private InFlightCall find(final long number, final String callId) throws LinkProtocolException {
        InFlightCall call = calls.get(number);
        if (call != null && !call.request().callId().equals(callId)) {
            throw new LinkProtocolException(
                    Refusal.WRONG_NUMBER, "result of call " + callId + " has the number of another call: " + number);
        }
        if (call != null && !call.isSent()) {
            throw new LinkProtocolException(Refusal.UNEXPECTED, "result of call " + callId + ", which was not sent");
        }
        return call;
    }
}
