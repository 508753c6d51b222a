package org.sequoiashunt.slot;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.call.TargetCaller;
import org.sequoiashunt.fleet.TargetReport;
import org.sequoiashunt.placement.PlacementPolicy;
import org.sequoiashunt.target.TargetAnnouncement;
import org.sequoiashunt.time.Clock;

/**
 * Admits, queues and sends all calls to one incarnation of a target, with at most one call for each slot at a time.
 *
 * <p>Calls get slots in the order of {@link SlotQueue}. A closed gate refuses new and waiting calls; running calls
 * end. A suspended gate does the same until it is resumed. {@link WarmupLimiter} limits the starts at a cold target.
 * Calls to a target that stays silent are given up as {@link SilencePolicy} decides, on routes that allow it; their
 * slots are held as {@link HeldSlots} tells. While fair shares are in force, so are all slots but one of a target that
 * was announced before its gate opened: calls of an earlier process or gate may still run there.
 *
 * <p>Thread-safe: guarded by this object's monitor; calls to the target and completions happen outside it. Invariants:
 * a refused call was not sent and never will be; after {@link #close} no call is sent.
 */
public final class SlotGate {

    /** Sequence number of the first announcement of a target, which has run no calls before. */
    private static final long FIRST_SEQUENCE = 1;

    /** Factor on the mean service time that leaves room for slower calls: about four of five calls take less. */
    public static final double LIKELY_SERVICE_FACTOR = 1.25;

    private final Dependencies dependencies;
    private final SlotQueue queue;
    private final WarmupLimiter warmup;
    private final TargetMeasurements measurements = new TargetMeasurements();
    private final HeldSlots heldSlots = new HeldSlots();
    private final long openedMs;
    private TargetAnnouncement target;
    private Reason closeReason;
    private boolean suspended;
    /** Whether calls that this gate has not sent may run at the target and no slot is held for them yet. */
    private boolean mayHaveEarlierRuns;

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
        this.queue = new SlotQueue(target.slots(), dependencies.fairSharesInForce());
        this.mayHaveEarlierRuns = target.sequence() > FIRST_SEQUENCE;
        this.openedMs = dependencies.clock().nowMs();
        this.warmup = new WarmupLimiter(openedMs, target.sequence());
        this.warmup.apply(dependencies.warmupRules().apply(target.service()), openedMs);
        this.warmup.announced(target.warmupLeftMs(), openedMs);
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
        if (!announcement.equals(target)) {
            target = announcement;
            warmup.announced(announcement.warmupLeftMs(), dependencies.clock().nowMs());
        }
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
        WaitingCall waiting = waitingCall(request, nowMs, result);
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

    private synchronized WaitingCall waitingCall(
            final CallRequest request, final long nowMs, final CompletableFuture<CallResult> result) {
        long latestStartMs = Math.max(
                nowMs, Math.min(request.urgency().objectiveMs(), request.deadlineMs()) - likelyServiceMs(request));
        long expectedServiceMs = measurements.meanMs(request.route(), queue.meanMs());
        return new WaitingCall(request, latestStartMs, expectedServiceMs, result);
    }

    private long likelyServiceMs(final CallRequest request) {
        return Math.round(LIKELY_SERVICE_FACTOR * measurements.meanMs(request.route(), queue.meanMs()));
    }

    /** Returns whether a call that starts at a given time probably does not end before this node stops. */
    private boolean outlastsStop(final CallRequest request, final long startMs) {
        return startMs + likelyServiceMs(request) > stopMs;
    }

    private synchronized Optional<CallResult> enqueue(final WaitingCall waiting, final long nowMs) {
        if (closeReason != null) {
            return Optional.of(CallResult.notRun(closeReason));
        }
        if (suspended) {
            return Optional.of(CallResult.notRun(Reason.EVACUATED));
        }
        updateHeldSlots(nowMs);
        long coldWaitMs = warmupWaitMs(queue.waiting(), nowMs);
        long heldWaitMs = heldSlots.waitMs(target.slots(), nowMs);
        long earliestStartMs = nowMs + Math.max(Math.max(coldWaitMs, heldWaitMs), queue.expectedWaitMs(waiting, nowMs));
        if (outlastsStop(waiting.request(), earliestStartMs)) {
            return Optional.of(CallResult.notRun(Reason.DRAINING));
        }
        if (coldWaitMs > 0 && nowMs + coldWaitMs > waiting.latestStartMs()) {
            dependencies.observer().callExceedsWarmup(target, waiting.request());
            return Optional.of(
                    CallResult.notRun(Reason.QUEUE_FULL).withLoad(load()).withExpectedWait(coldWaitMs));
        }
        if (heldWaitMs > 0 && nowMs + heldWaitMs > waiting.latestStartMs()) {
            return Optional.of(
                    CallResult.notRun(Reason.QUEUE_FULL).withLoad(load()).withExpectedWait(heldWaitMs));
        }
        Optional<Long> waitMs = queue.offer(waiting, nowMs);
        if (waitMs.isEmpty()) {
            dependencies.observer().callAdmitted(target, waiting.request(), queue.running(), queue.waiting());
        }
        return waitMs.map(
                wait -> CallResult.notRun(Reason.QUEUE_FULL).withLoad(load()).withExpectedWait(wait));
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
        long nowMs = dependencies.clock().nowMs();
        updateHeldSlots(nowMs);
        if (closeReason != null || suspended || queue.waiting() == 0 || warmupWaitMs(0, nowMs) > 0) {
            return Optional.empty();
        }
        Optional<WaitingCall> next = queue.takeNext(nowMs);
        next.ifPresent(taken -> warmup.recordStart(nowMs));
        return next;
    }

    /** Returns how long a call waits for the limit on the starts at a cold target, with others ahead of it. */
    private long warmupWaitMs(final int callsAhead, final long nowMs) {
        warmup.apply(dependencies.warmupRules().apply(target.service()), nowMs);
        return warmup.waitMs(callsAhead, nowMs);
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
        CompletableFuture<CallResult> run =
                dependencies.targetCaller().call(target().address(), request, silenceLimitMs(request, startedMs));
        waiting.result().whenComplete((result, failure) -> {
            if (waiting.result().isCancelled() && request.idempotent()) {
                run.cancel(true);
            }
        });
        run.whenComplete((result, failure) ->
                completeCall(waiting, failure == null ? result : CallResult.unknown(Reason.CANCELLED), startedMs));
    }

    private synchronized long silenceLimitMs(final CallRequest request, final long nowMs) {
        if (!dependencies.givesUpSilentCalls().test(request.route())) {
            return TargetCaller.NO_SILENCE_LIMIT;
        }
        return SilencePolicy.silenceLimitMs(
                request,
                measurements.meanMs(request.route(), queue.meanMs()),
                measurements.answers(request.route()),
                nowMs);
    }

    private void completeCall(final WaitingCall waiting, final CallResult result, final long startedMs) {
        long durationMs = Math.max(0, dependencies.clock().nowMs() - startedMs);
        record(waiting.request(), result, durationMs);
        dependencies.observer().callEnded(target(), waiting.request(), result, durationMs);
        waiting.result().complete(result.withLoad(load()));
        startWaitingCalls();
    }

    private synchronized void record(final CallRequest request, final CallResult result, final long durationMs) {
        long nowMs = dependencies.clock().nowMs();
        boolean cancelled = result.reason() == Reason.CANCELLED;
        boolean failed = result.isFailure();
        if (!cancelled) {
            measurements.recordCall(request.route(), durationMs, failed, nowMs);
        }
        countRepeat(request, -1);
        if (result.reason() == Reason.UNRESPONSIVE) {
            heldSlots.hold(nowMs, request.deadlineMs());
        } else {
            queue.releaseSlot(cancelled || failed ? -1 : durationMs);
        }
    }

    /** Frees the held slots whose time has passed, and holds slots for the runs of an earlier process or gate. */
    private void updateHeldSlots(final long nowMs) {
        releaseSlots(heldSlots.removeEnded(nowMs));
        if (mayHaveEarlierRuns && dependencies.fairSharesInForce().getAsBoolean()) {
            mayHaveEarlierRuns = false;
            boolean inTime = nowMs < openedMs + HeldSlots.EARLIER_RUNS_MS;
            for (int slot = 1; slot < target.slots() && inTime && queue.takeSlot(); slot++) {
                heldSlots.holdForEarlierRun(openedMs);
            }
        }
    }

    private void releaseSlots(final int count) {
        for (int slot = 0; slot < count; slot++) {
            queue.releaseSlot(-1);
        }
    }

    private synchronized void countRepeat(final CallRequest request, final int change) {
        runningRepeats += request.repeated() ? change : 0;
    }

    private synchronized void releaseSlot(final long durationMs) {
        queue.releaseSlot(durationMs);
    }

    private synchronized int load() {
        long nowMs = dependencies.clock().nowMs();
        return (isLimitedByWarmup(nowMs) ? warmup.startsInWindow(nowMs) : queue.running()) + queue.waiting();
    }

    /** Returns whether the limit of a cold target leaves room for fewer calls than its slots do. */
    private boolean isLimitedByWarmup(final long nowMs) {
        return warmup.isCold(nowMs)
                && warmup.startsPerWindow() - warmup.startsInWindow(nowMs) < target.slots() - queue.running();
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
            updateHeldSlots(nowMs);
            lateCalls = new ArrayList<>(queue.removeLateCalls(nowMs));
            if (warmupWaitMs(0, nowMs) > 0) {
                lateCalls.addAll(queue.removeIf(waiting -> waiting.latestStartMs() < nowMs));
            }
            outlastingCalls = queue.removeIf(waiting -> outlastsStop(waiting.request(), nowMs));
            if (queue.running() == 0) {
                measurements.decayFailureShare();
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

    /** Refuses waiting and later calls until {@link #resume}, and lets running calls end. */
    public void suspend() {
        List<WaitingCall> waitingCalls;
        synchronized (this) {
            suspended = true;
            waitingCalls = queue.removeAll();
        }
        waitingCalls.forEach(waiting -> refuseWaiting(waiting, Reason.EVACUATED));
    }

    /** Admits calls again. The target counts as cold until its next announcement. */
    public synchronized void resume() {
        if (suspended) {
            suspended = false;
            warmup.interrupted();
        }
    }

    /**
     * Records the load that the target has stated in the answer to a call, before the result of the call completes.
     *
     * @param load the load, not null.
     * @param sentMs when the call was sent or before, in milliseconds of the local clock.
     */
    public synchronized void recordStatedLoad(final StatedLoad load, final long sentMs) {
        measurements.recordPace(load.pacePercent(), dependencies.clock().nowMs());
        releaseSlots(heldSlots.removeBeyond(load.running() + load.waiting(), sentMs));
    }

    /**
     * Counts the calls that run and were not given up.
     *
     * @return the number of calls, zero or more.
     */
    public synchronized int running() {
        return queue.running() - heldSlots.count();
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
     * Reports the state of the target and its queue, for placement by this node and others. While the limit of a cold
     * target leaves room for fewer calls than its slots, the report describes it as slots that each start holds for one
     * window, so that placement counts on that rate.
     *
     * @return the report, never null.
     */
    public synchronized TargetReport report() {
        long nowMs = dependencies.clock().nowMs();
        updateHeldSlots(nowMs);
        boolean limitedByWarmup = isLimitedByWarmup(nowMs);
        return new TargetReport(
                target.target(),
                target.service(),
                target.version(),
                limitedByWarmup ? warmup.startsPerWindow() : target.slots(),
                closeReason == null && !suspended,
                limitedByWarmup ? warmup.startsInWindow(nowMs) : queue.running(),
                queue.waiting(),
                (int) (limitedByWarmup ? warmup.windowMs() : queue.meanMs()),
                measurements.failurePermille(),
                warmup.warmupLeftMs(nowMs),
                measurements.routeTimes(dependencies.placement().get().separatesPace()),
                measurements.reportedPercent(nowMs));
    }

    /**
     * Objects that a gate calls. Immutable; thread-safe if its components are.
     *
     * @param clock the clock.
     * @param targets sends calls to targets.
     * @param observer receives the gate's decisions.
     * @param warmupRules returns the limit on cold targets of a service.
     * @param fairSharesInForce whether the flows of a rank share the slots of a target.
     * @param placement returns the policy by which entries choose targets; it tells how durations are reported.
     * @param givesUpSilentCalls whether the calls of a route are given up if their target stays silent.
     */
    public record Dependencies(
            Clock clock,
            TargetCaller targetCaller,
            GateObserver observer,
            Function<String, WarmupRule> warmupRules,
            BooleanSupplier fairSharesInForce,
            Supplier<PlacementPolicy> placement,
            Predicate<String> givesUpSilentCalls) {

        /**
         * Creates the dependencies of gates without a limit on cold targets and without fair shares, which report
         * durations as measured and wait for silent targets until the deadlines of the calls.
         *
         * @param clock the clock.
         * @param targetCaller sends calls to targets.
         * @param observer receives the gate's decisions.
         */
        public Dependencies(final Clock clock, final TargetCaller targetCaller, final GateObserver observer) {
            this(
                    clock,
                    targetCaller,
                    observer,
                    service -> WarmupRule.NONE,
                    () -> false,
                    () -> PlacementPolicy.LOWEST_COST,
                    route -> false);
        }
    }
}
