package org.sequoiashunt.gate;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.call.TargetCaller;
import org.sequoiashunt.rollout.EvidenceRecorder;
import org.sequoiashunt.time.Clock;

/**
 * Dispatches all calls to one target: limits running and waiting calls, and refuses new calls once it drains.
 *
 * <p>Thread-safe: guarded by its monitor; calls to the target and completions happen outside of it. Invariants: a
 * call refused here was never dispatched and never will be; after {@link #drain()} no call is dispatched.
 */
final class TargetGate {

    /** Maximum wait for a slot; a longer wait would leave no time for an attempt on another target. */
    static final long MAXIMUM_WAIT_MS = 500;

    private final AnnouncedTarget target;
    private final Dependencies dependencies;
    private final GateQueue queue;
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private boolean draining;

    TargetGate(final AnnouncedTarget target, final Dependencies ports) {
        this.target = target;
        this.dependencies = ports;
        this.queue = new GateQueue(target.slots());
    }

    AnnouncedTarget target() {
        return target;
    }

    CompletableFuture<CallResult> handle(final CallRequest request) {
        Admission admission = dependencies.crashPolicy().admit(request);
        if (admission == Admission.REFUSE) {
            return refuse(Reason.QUARANTINED);
        }
        long nowMs = dependencies.clock().nowMs();
        long waitMs = Math.min(MAXIMUM_WAIT_MS, request.deadlineMs() - nowMs);
        if (waitMs <= 0) {
            return refuse(Reason.DEADLINE);
        }
        QueuedCall call = new QueuedCall(request, admission, nowMs + waitMs, new CompletableFuture<>());
        Optional<Reason> refusal = enqueue(call, waitMs);
        if (refusal.isPresent()) {
            return refuse(refusal.get());
        }
        startWaitingCalls();
        return call.result();
    }

    private synchronized Optional<Reason> enqueue(final QueuedCall call, final long waitMs) {
        if (draining) {
            return Optional.of(Reason.DRAINING);
        }
        if (!queue.canAccept(waitMs)) {
            return Optional.of(Reason.QUEUE_FULL);
        }
        queue.add(call);
        return Optional.empty();
    }

    private CompletableFuture<CallResult> refuse(final Reason reason) {
        return CompletableFuture.completedFuture(CallResult.notRun(reason).withLoad(load()));
    }

    synchronized int load() {
        return queue.load();
    }

    /** Refuses the calls whose wait has expired. */
    void refuseExpired() {
        List<QueuedCall> expired;
        synchronized (this) {
            expired = queue.removeExpired(dependencies.clock().nowMs());
        }
        expired.forEach(call -> complete(call, CallResult.notRun(expiryReason(call))));
        startWaitingCalls();
    }

    private Reason expiryReason(final QueuedCall call) {
        return call.request().deadlineMs() <= dependencies.clock().nowMs() ? Reason.DEADLINE : Reason.QUEUE_FULL;
    }

    /** Refuses new and waiting calls and lets running calls finish; the future completes when the target is idle. */
    CompletableFuture<Void> drain() {
        List<QueuedCall> refused;
        synchronized (this) {
            draining = true;
            refused = queue.removeAll();
        }
        refused.forEach(call -> complete(call, CallResult.notRun(Reason.DRAINING)));
        completeDrainIfIdle();
        return drained;
    }

    synchronized boolean isDraining() {
        return draining;
    }

    private void completeDrainIfIdle() {
        boolean idle;
        synchronized (this) {
            idle = draining && queue.load() == 0;
        }
        if (idle) {
            drained.complete(null);
        }
    }

    private void startWaitingCalls() {
        Optional<QueuedCall> next = startNext();
        while (next.isPresent()) {
            start(next.get());
            next = startNext();
        }
    }

    private synchronized Optional<QueuedCall> startNext() {
        return queue.startNext();
    }

    private void start(final QueuedCall call) {
        long startedMs = dependencies.clock().nowMs();
        if (call.result().isDone() || call.request().deadlineMs() <= startedMs) {
            releaseUnusedSlot();
            complete(call, CallResult.notRun(Reason.DEADLINE));
            completeDrainIfIdle();
            return;
        }
        CompletableFuture<CallResult> run = dependencies.targets().call(target.address(), call.request());
        call.result().whenComplete((result, failure) -> {
            if (call.result().isCancelled()) {
                run.cancel(true);
            }
        });
        run.whenComplete((result, failure) ->
                handleEnd(call, failure == null ? result : CallResult.unknown(Reason.CANCELLED), startedMs));
    }

    private void handleEnd(final QueuedCall call, final CallResult result, final long startedMs) {
        long durationMs = Math.max(0, dependencies.clock().nowMs() - startedMs);
        CallRequest request = call.request();
        dependencies.crashPolicy().recordEnd(request, result, call.isAlone());
        dependencies.evidence().record(request.service(), request.targetVersion(), request.route(), result, durationMs);
        releaseSlotAfter(durationMs);
        complete(call, result);
        startWaitingCalls();
        completeDrainIfIdle();
    }

    private synchronized void releaseUnusedSlot() {
        queue.releaseSlot();
    }

    private synchronized void releaseSlotAfter(final long durationMs) {
        queue.recordEnd(durationMs);
    }

    private void complete(final QueuedCall call, final CallResult result) {
        call.result().complete(result.withLoad(load()));
    }

    /**
     * Holds the components that a gate calls. Immutable and thread-safe.
     *
     * @param clock the clock.
     * @param targets sends calls to targets.
     * @param evidence records the result and duration of each run.
     * @param crashPolicy restricts requests that have crashed targets.
     */
    record Dependencies(Clock clock, TargetCaller targets, EvidenceRecorder evidence, CrashPolicy crashPolicy) {}
}
