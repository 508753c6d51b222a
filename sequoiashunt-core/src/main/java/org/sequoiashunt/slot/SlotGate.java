package org.sequoiashunt.slot;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Outcome;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.call.TargetCaller;
import org.sequoiashunt.fleet.TargetReport;
import org.sequoiashunt.placement.PlacementPolicy;
import org.sequoiashunt.target.TargetAnnouncement;
import org.sequoiashunt.time.Clock;

/**
 * Admits, queues and sends all calls to one incarnation of a target, with at most one call for each slot at a time.
 *
 * <p>Calls get slots in the order of {@link SlotQueue}. A closed gate refuses new and waiting calls; running calls end.
 *
 * <p>Thread-safe: guarded by this object's monitor; calls to the target and completions happen outside it. Invariants:
 * a refused call was not sent and never will be; after {@link #close} no call is sent.
 */
public final class SlotGate {

    private static final int LOWEST_FAILURE_STATUS = 500;

    /** Factor on the mean service time that leaves room for slower calls: about four of five calls take less. */
    public static final double LIKELY_SERVICE_FACTOR = 1.25;

    private final Dependencies dependencies;
    private final SlotQueue queue;
    private final TargetMovingAverages movingAverages = new TargetMovingAverages();
    /** Durations at the usual pace of the VM: those of calls that ran while it was slow, divided by its pace. */
    private final TargetMovingAverages usualPaceAverages = new TargetMovingAverages();

    private final TargetPace pace = new TargetPace();
    private long latestAnnouncementMs;
    private TargetAnnouncement target;
    private Reason closeReason;
    private int runningRepeats;
    private long stopMs = Long.MAX_VALUE;

    /**
     * Creates a gate.
     *
     * @param target the announcement of the target, not null.
     * @param dependencies the clock, the caller of targets and the observer, not null.
     */
    public SlotGate(final TargetAnnouncement target, final Dependencies dependencies) {
        this.target = Objects.requireNonNull(target, "target");
        this.dependencies = Objects.requireNonNull(dependencies, "dependencies");
        this.queue = new SlotQueue(target.slots());
        this.latestAnnouncementMs = dependencies.clock().nowMs();
    }

    /**
     * Returns the target's latest announcement.
     *
     * @return the announcement, never null.
     */
    public synchronized TargetAnnouncement target() {
        return target;
    }

    /**
     * Replaces the announcement by a later one of the same incarnation.
     *
     * @param announcement the later announcement, not null.
     */
    public synchronized void updateAnnouncement(final TargetAnnouncement announcement) {
        target = announcement;
        latestAnnouncementMs = dependencies.clock().nowMs();
    }

    /**
     * Sends a call to the target as soon as it gets a slot, or refuses it.
     *
     * @param request the call, not null.
     * @return completes with the result of the call, never exceptionally. Cancelling it removes a waiting call from the
     *     queue, and cancels a running call if it is idempotent.
     */
    public CompletableFuture<CallResult> handle(final CallRequest request) {
        long nowMs = dependencies.clock().nowMs();
        CompletableFuture<CallResult> result = new CompletableFuture<>();
        if (request.deadlineMs() <= nowMs) {
            return refuse(request, CallResult.notRun(Reason.DEADLINE));
        }
        WaitingCall waiting = new WaitingCall(request, latestStartMs(request, nowMs), result);
        Optional<CallResult> refusal = enqueue(waiting, nowMs);
        if (refusal.isPresent()) {
            return refuse(request, refusal.get());
        }
        result.whenComplete((ended, failure) -> {
            if (result.isCancelled()) {
                removeFromQueue(waiting);
            }
        });
        startWaitingCalls();
        return result;
    }

    private synchronized long latestStartMs(final CallRequest request, final long nowMs) {
        return Math.max(
                nowMs, Math.min(request.urgency().objectiveMs(), request.deadlineMs()) - likelyServiceMs(request));
    }

    private long likelyServiceMs(final CallRequest request) {
        return Math.round(LIKELY_SERVICE_FACTOR * movingAverages.meanMs(request.route(), queue.meanMs()));
    }

    /** Returns whether a call that starts at a given time probably does not end before this node stops. */
    private boolean outlastsStop(final CallRequest request, final long startMs) {
        return startMs + likelyServiceMs(request) > stopMs;
    }

    private synchronized Optional<CallResult> enqueue(final WaitingCall waiting, final long nowMs) {
        if (closeReason != null) {
            return Optional.of(CallResult.notRun(closeReason));
        }
        long earliestStartMs =
                nowMs + queue.expectedWaitMs(waiting.request().urgency().rank());
        if (outlastsStop(waiting.request(), earliestStartMs)) {
            return Optional.of(CallResult.notRun(Reason.DRAINING));
        }
        Optional<Long> waitMs = queue.offer(waiting, nowMs);
        if (waitMs.isEmpty()) {
            dependencies.observer().callAdmitted(target, waiting.request(), queue.running(), queue.waiting());
        }
        return waitMs.map(wait -> CallResult.notRun(Reason.QUEUE_FULL)
                .withLoad(queue.running() + queue.waiting())
                .withExpectedWait(wait));
    }

    private CompletableFuture<CallResult> refuse(final CallRequest request, final CallResult refusal) {
        dependencies.observer().callRefused(target(), request, refusal);
        return CompletableFuture.completedFuture(refusal);
    }

    private synchronized void removeFromQueue(final WaitingCall waiting) {
        queue.remove(waiting);
    }

    private void startWaitingCalls() {
        Optional<WaitingCall> next = takeNext();
        while (next.isPresent()) {
            start(next.get());
            next = takeNext();
        }
    }

    private synchronized Optional<WaitingCall> takeNext() {
        return closeReason == null ? queue.takeNext(dependencies.clock().nowMs()) : Optional.empty();
    }

    private void start(final WaitingCall waiting) {
        long startedMs = dependencies.clock().nowMs();
        CallRequest request = waiting.request();
        if (waiting.result().isDone() || request.deadlineMs() <= startedMs) {
            releaseSlot(-1);
            CallResult refusal = CallResult.notRun(Reason.DEADLINE);
            if (waiting.result().complete(refusal)) {
                dependencies.observer().callRefused(target(), request, refusal);
            }
            return;
        }
        countRepeat(request, 1);
        CompletableFuture<CallResult> run = dependencies.targetCaller().call(target().address(), request);
        waiting.result().whenComplete((result, failure) -> {
            if (waiting.result().isCancelled() && request.idempotent()) {
                run.cancel(true);
            }
        });
        run.whenComplete((result, failure) ->
                completeCall(waiting, failure == null ? result : CallResult.unknown(Reason.CANCELLED), startedMs));
    }

    private void completeCall(final WaitingCall waiting, final CallResult result, final long startedMs) {
        long durationMs = Math.max(0, dependencies.clock().nowMs() - startedMs);
        record(waiting.request(), result, durationMs);
        dependencies.observer().callEnded(target(), waiting.request(), result, durationMs);
        waiting.result().complete(result.withLoad(load()));
        startWaitingCalls();
    }

    private synchronized void record(final CallRequest request, final CallResult result, final long durationMs) {
        boolean cancelled = result.reason() == Reason.CANCELLED;
        boolean failed = isFailure(result);
        if (!cancelled) {
            movingAverages.recordCall(request.route(), durationMs, failed);
            double percent = pace.expectedPercent(dependencies.clock().nowMs());
            usualPaceAverages.recordCall(
                    request.route(), Math.round(durationMs * TargetPace.USUAL_PERCENT / percent), failed);
        }
        countRepeat(request, -1);
        releaseSlot(cancelled || failed ? -1 : durationMs);
    }

    private synchronized void countRepeat(final CallRequest request, final int change) {
        runningRepeats += request.repeated() ? change : 0;
    }

    /**
     * Returns whether a result counts as a failure of the target.
     *
     * @param result the result, not null.
     * @return true if the answer's status is {@value #LOWEST_FAILURE_STATUS} or higher, or the call was refused or
     *     interrupted, so that its outcome is not {@link Outcome#COMPLETE}.
     */
    public static boolean isFailure(final CallResult result) {
        boolean failedAnswer = result.response()
                .map(CallResponse::status)
                .filter(status -> status >= LOWEST_FAILURE_STATUS)
                .isPresent();
        return failedAnswer || result.outcome() != Outcome.COMPLETE;
    }

    private synchronized void releaseSlot(final long durationMs) {
        queue.releaseSlot(durationMs);
    }

    private synchronized int load() {
        return queue.running() + queue.waiting();
    }

    /**
     * Prepares for the stop of this node: calls that probably do not end before it are refused while they wait.
     *
     * @param newStopMs when running calls are cut off, in milliseconds of the local clock.
     */
    public synchronized void drain(final long newStopMs) {
        stopMs = newStopMs;
    }

    /**
     * Refuses a call that has not been sent to the target.
     *
     * @param callId the identity of the call, not null.
     * @return true if the call was waiting and therefore is never sent.
     */
    public boolean withdraw(final String callId) {
        List<WaitingCall> withdrawn;
        synchronized (this) {
            withdrawn = queue.removeIf(waiting -> waiting.request().callId().equals(callId));
        }
        withdrawn.forEach(waiting -> refuseWaiting(waiting, Reason.DRAINING));
        return !withdrawn.isEmpty();
    }

    /**
     * Refuses the calls that have missed their latest useful start or would be cut off by the stop of this node; decays
     * the failure share of an idle target.
     */
    public void tick() {
        List<WaitingCall> lateCalls;
        List<WaitingCall> outlastingCalls;
        synchronized (this) {
            long nowMs = dependencies.clock().nowMs();
            lateCalls = new ArrayList<>(queue.removeLateCalls(nowMs));
            outlastingCalls = queue.removeIf(waiting -> outlastsStop(waiting.request(), nowMs));
            if (queue.running() == 0) {
                movingAverages.decayFailureShare();
            }
        }
        lateCalls.forEach(waiting -> refuseWaiting(waiting, Reason.QUEUE_FULL));
        outlastingCalls.forEach(waiting -> refuseWaiting(waiting, Reason.DRAINING));
        startWaitingCalls();
    }

    private void refuseWaiting(final WaitingCall waiting, final Reason reason) {
        CallResult refusal = CallResult.notRun(reason).withLoad(load());
        if (waiting.result().complete(refusal)) {
            dependencies.observer().callRefused(target(), waiting.request(), refusal);
        }
    }

    /**
     * Closes the gate: refuses waiting and later calls, and lets running calls end.
     *
     * @param reason the reason given to the refused calls, not null.
     */
    public void close(final Reason reason) {
        List<WaitingCall> waitingCalls;
        synchronized (this) {
            closeReason = reason;
            waitingCalls = queue.removeAll();
        }
        waitingCalls.forEach(waiting -> refuseWaiting(waiting, reason));
    }

    /**
     * Records the load that the target has stated in an answer.
     *
     * @param load the load, not null.
     */
    public synchronized void recordStatedLoad(final StatedLoad load) {
        pace.record(load.pacePercent(), dependencies.clock().nowMs());
    }

    /**
     * Counts the calls that run.
     *
     * @return the number of calls, zero or more.
     */
    public synchronized int running() {
        return queue.running();
    }

    /**
     * Counts the calls that run and are repeated attempts of their requests.
     *
     * @return the number of calls, zero or more.
     */
    public synchronized int runningRepeats() {
        return runningRepeats;
    }

    /**
     * Reports the state of the target and its queue, for placement by this node and others.
     *
     * @return the report, never null.
     */
    public synchronized TargetReport report() {
        long nowMs = dependencies.clock().nowMs();
        long ageMs = nowMs - latestAnnouncementMs;
        boolean separatesPace = dependencies.placement().separatesPace();
        return new TargetReport(
                target.target(),
                target.service(),
                target.version(),
                target.slots(),
                closeReason == null,
                queue.running(),
                queue.waiting(),
                (int) queue.meanMs(),
                movingAverages.failurePermille(),
                Math.max(0, target.warmupLeftMs() - Math.min(ageMs, target.warmupLeftMs())),
                (separatesPace ? usualPaceAverages : movingAverages).routeTimes(),
                pace.reportedPercent(nowMs));
    }

    /**
     * Objects that a gate calls. Immutable; thread-safe if its components are.
     *
     * @param clock the clock.
     * @param targets sends calls to targets.
     * @param observer receives the gate's decisions.
     * @param placement the policy by which entries choose targets; it tells how durations are reported.
     */
    public record Dependencies(
            Clock clock, TargetCaller targetCaller, GateObserver observer, PlacementPolicy placement) {

        /**
         * Creates the dependencies of a gate that reports durations as measured.
         *
         * @param clock the clock.
         * @param targetCaller sends calls to targets.
         * @param observer receives the gate's decisions.
         */
        public Dependencies(final Clock clock, final TargetCaller targetCaller, final GateObserver observer) {
            this(clock, targetCaller, observer, PlacementPolicy.LOWEST_COST);
        }
    }
}
