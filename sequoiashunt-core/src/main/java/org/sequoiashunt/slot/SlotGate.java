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
import org.sequoiashunt.target.TargetAnnouncement;
import org.sequoiashunt.time.Clock;

/**
 * The only way to one incarnation of a target: gives its slots to calls in the order of {@link SlotQueue} and ends new
 * work when the target leaves.
 *
 * <p>Thread-safe: guarded by its own monitor; calls to the target and completions happen outside of it. Invariants: a
 * call that was refused was never sent and never will be; after {@link #close} no call is sent.
 */
public final class SlotGate {

    private static final int FIRST_FAILURE_STATUS = 500;

    /** How much longer than the mean a call may take: about four of five calls take less. */
    private static final double SERVICE_MARGIN = 1.25;

    private final Dependencies ports;
    private final SlotQueue queue;
    private final TargetMovingAverages statistics = new TargetMovingAverages();
    private long announcedMs;
    private TargetAnnouncement target;
    private Reason closed;

    /**
     * Creates a gate.
     *
     * @param target the target, not null.
     * @param ports what the gate calls, not null.
     */
    public SlotGate(final TargetAnnouncement target, final Dependencies ports) {
        this.target = Objects.requireNonNull(target, "target");
        this.ports = Objects.requireNonNull(ports, "ports");
        this.queue = new SlotQueue(target.slots());
        this.announcedMs = ports.clock().nowMs();
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
     * Takes a later announcement of the same incarnation.
     *
     * @param announcement the announcement, not null.
     */
    public synchronized void refresh(final TargetAnnouncement announcement) {
        target = announcement;
        announcedMs = ports.clock().nowMs();
    }

    /**
     * Runs a call, now or once a slot is free.
     *
     * @param request the call, not null.
     * @return completes with how the call ended, never exceptionally. Cancelling it takes a call out of the queue, and
     *     breaks it off at the target if it is idempotent.
     */
    public CompletableFuture<CallResult> handle(final CallRequest request) {
        long nowMs = ports.clock().nowMs();
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
                withdraw(waiting);
            }
        });
        startWaiting();
        return result;
    }

    private synchronized long latestStartMs(final CallRequest request, final long nowMs) {
        long serviceMs = Math.round(SERVICE_MARGIN * statistics.timeMs(request.route(), queue.meanMs()));
        return Math.max(nowMs, Math.min(request.urgency().objectiveMs(), request.deadlineMs()) - serviceMs);
    }

    private synchronized Optional<CallResult> enqueue(final WaitingCall waiting, final long nowMs) {
        if (closed != null) {
            return Optional.of(CallResult.notRun(closed));
        }
        Optional<Long> waitMs = queue.offer(waiting, nowMs);
        if (waitMs.isEmpty()) {
            ports.observer().admitted(target, waiting.request(), queue.running(), queue.waiting());
        }
        return waitMs.map(wait -> CallResult.notRun(Reason.QUEUE_FULL)
                .withLoad(queue.running() + queue.waiting())
                .withWait(wait));
    }

    private CompletableFuture<CallResult> refuse(final CallRequest request, final CallResult refusal) {
        ports.observer().refused(target(), request, refusal);
        return CompletableFuture.completedFuture(refusal);
    }

    private synchronized void withdraw(final WaitingCall waiting) {
        queue.remove(waiting);
    }

    private void startWaiting() {
        Optional<WaitingCall> next = startNext();
        while (next.isPresent()) {
            start(next.get());
            next = startNext();
        }
    }

    private synchronized Optional<WaitingCall> startNext() {
        return closed == null ? queue.startNext(ports.clock().nowMs()) : Optional.empty();
    }

    private void start(final WaitingCall waiting) {
        long startedMs = ports.clock().nowMs();
        CallRequest request = waiting.request();
        if (waiting.result().isDone() || request.deadlineMs() <= startedMs) {
            release(-1);
            CallResult refusal = CallResult.notRun(Reason.DEADLINE);
            if (waiting.result().complete(refusal)) {
                ports.observer().refused(target(), request, refusal);
            }
            return;
        }
        CompletableFuture<CallResult> run = ports.targets().call(target().address(), request);
        waiting.result().whenComplete((result, failure) -> {
            if (waiting.result().isCancelled() && request.idempotent()) {
                run.cancel(true);
            }
        });
        run.whenComplete((result, failure) ->
                ended(waiting, failure == null ? result : CallResult.unknown(Reason.CANCELLED), startedMs));
    }

    private void ended(final WaitingCall waiting, final CallResult result, final long startedMs) {
        long durationMs = Math.max(0, ports.clock().nowMs() - startedMs);
        record(waiting.request(), result, durationMs);
        ports.observer().ended(target(), waiting.request(), result, durationMs);
        waiting.result().complete(result.withLoad(load()));
        startWaiting();
    }

    private synchronized void record(final CallRequest request, final CallResult result, final long durationMs) {
        boolean cancelled = result.reason() == Reason.CANCELLED;
        boolean failed = isFailure(result);
        if (!cancelled) {
            statistics.answered(request.route(), durationMs, failed);
        }
        release(cancelled || failed ? -1 : durationMs);
    }

    /**
     * Tells whether a result speaks against the target.
     *
     * @param result the result, not null.
     * @return true if the target failed, cut the call or refused it.
     */
    public static boolean isFailure(final CallResult result) {
        boolean failedAnswer = result.answer()
                .map(CallResponse::status)
                .filter(status -> status >= FIRST_FAILURE_STATUS)
                .isPresent();
        return failedAnswer || result.outcome() != Outcome.COMPLETE;
    }

    private synchronized void release(final long durationMs) {
        queue.ended(durationMs);
    }

    private synchronized int load() {
        return queue.running() + queue.waiting();
    }

    /** Refuses the calls that have missed their latest useful start, and forgives old failures. */
    public void tick() {
        List<WaitingCall> late;
        synchronized (this) {
            late = new ArrayList<>(queue.removeLate(ports.clock().nowMs()));
            if (queue.running() == 0) {
                statistics.forgive();
            }
        }
        late.forEach(waiting -> refuseWaiting(waiting, Reason.QUEUE_FULL));
        startWaiting();
    }

    private void refuseWaiting(final WaitingCall waiting, final Reason reason) {
        CallResult refusal = CallResult.notRun(reason).withLoad(load());
        if (waiting.result().complete(refusal)) {
            ports.observer().refused(target(), waiting.request(), refusal);
        }
    }

    /**
     * Ends new work: refuses what waits and lets what runs end.
     *
     * @param reason why later calls are refused, not null.
     */
    public void close(final Reason reason) {
        List<WaitingCall> refused;
        synchronized (this) {
            closed = reason;
            refused = queue.removeAll();
        }
        refused.forEach(waiting -> refuseWaiting(waiting, reason));
    }

    /**
     * Counts the calls that run.
     *
     * @return the number.
     */
    public synchronized int running() {
        return queue.running();
    }

    /**
     * Describes the target to other nodes.
     *
     * @return the report, never null.
     */
    public synchronized TargetReport report() {
        long ageMs = ports.clock().nowMs() - announcedMs;
        return new TargetReport(
                target.target(),
                target.service(),
                target.version(),
                target.slots(),
                closed == null,
                queue.running(),
                queue.waiting(),
                (int) queue.meanMs(),
                statistics.failurePermille(),
                Math.max(0, target.warmupLeftMs() - Math.min(ageMs, target.warmupLeftMs())),
                statistics.routeTimes());
    }

    /**
     * What a gate calls. Immutable; thread-safe as its parts are.
     *
     * @param clock the clock.
     * @param targets sends calls to targets.
     * @param observer told of each decision.
     */
    public record Dependencies(Clock clock, TargetCaller targets, GateObserver observer) {}
}
