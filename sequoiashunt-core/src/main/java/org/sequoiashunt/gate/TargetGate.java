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
 * The only way to one target: bounds what runs and what waits, and ends new work when the target leaves.
 *
 * <p>Thread-safe: guarded by its own monitor; calls to the target and completions happen outside of it. Invariants: a
 * call refused here was never dispatched and never will be; after {@link #drain()} no call is dispatched.
 */
final class TargetGate {

    /** Longest wait for a slot; a longer one would use up the time for another attempt elsewhere. */
    static final long MAXIMUM_WAIT_MS = 500;

    private final AnnouncedTarget target;
    private final Dependencies ports;
    private final GateQueue queue;
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private boolean draining;

    TargetGate(final AnnouncedTarget target, final Dependencies ports) {
        this.target = target;
        this.ports = ports;
        this.queue = new GateQueue(target.slots());
    }

    AnnouncedTarget target() {
        return target;
    }

    CompletableFuture<CallResult> handle(final CallRequest request) {
        Admission admission = ports.crashPolicy().admit(request);
        if (admission == Admission.REFUSE) {
            return refuse(Reason.QUARANTINED);
        }
        long nowMs = ports.clock().nowMs();
        long waitMs = Math.min(MAXIMUM_WAIT_MS, request.deadlineMs() - nowMs);
        if (waitMs <= 0) {
            return refuse(Reason.DEADLINE);
        }
        QueuedCall call = new QueuedCall(request, admission, nowMs + waitMs, new CompletableFuture<>());
        Optional<Reason> refusal = enqueue(call, waitMs);
        if (refusal.isPresent()) {
            return refuse(refusal.get());
        }
        startWaiting();
        return call.result();
    }

    private synchronized Optional<Reason> enqueue(final QueuedCall call, final long waitMs) {
        if (draining) {
            return Optional.of(Reason.DRAINING);
        }
        if (!queue.hasRoom(waitMs)) {
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

    /** Refuses calls that have waited too long. */
    void expire() {
        List<QueuedCall> expired;
        synchronized (this) {
            expired = queue.removeExpired(ports.clock().nowMs());
        }
        expired.forEach(call -> complete(call, CallResult.notRun(expiryReason(call))));
        startWaiting();
    }

    private Reason expiryReason(final QueuedCall call) {
        return call.request().deadlineMs() <= ports.clock().nowMs() ? Reason.DEADLINE : Reason.QUEUE_FULL;
    }

    /** Ends new work: refuses what waits and lets what runs end. */
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

    private void startWaiting() {
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
        long startedMs = ports.clock().nowMs();
        if (call.result().isDone() || call.request().deadlineMs() <= startedMs) {
            abandon();
            complete(call, CallResult.notRun(Reason.DEADLINE));
            completeDrainIfIdle();
            return;
        }
        CompletableFuture<CallResult> run = ports.targets().call(target.address(), call.request());
        call.result().whenComplete((result, failure) -> {
            if (call.result().isCancelled()) {
                run.cancel(true);
            }
        });
        run.whenComplete((result, failure) ->
                ended(call, failure == null ? result : CallResult.unknown(Reason.CANCELLED), startedMs));
    }

    private void ended(final QueuedCall call, final CallResult result, final long startedMs) {
        long durationMs = Math.max(0, ports.clock().nowMs() - startedMs);
        CallRequest request = call.request();
        ports.crashPolicy().ended(request, result, call.isAlone());
        ports.evidence().record(request.service(), request.targetVersion(), request.route(), result, durationMs);
        release(durationMs);
        complete(call, result);
        startWaiting();
        completeDrainIfIdle();
    }

    private synchronized void abandon() {
        queue.abandoned();
    }

    private synchronized void release(final long durationMs) {
        queue.ended(durationMs);
    }

    private void complete(final QueuedCall call, final CallResult result) {
        call.result().complete(result.withLoad(load()));
    }

    /**
     * What a gate calls. Immutable and thread-safe.
     *
     * @param clock the clock.
     * @param targets sends calls to targets.
     * @param evidence told of each run.
     * @param crashPolicy decides about requests that crash targets.
     */
    record Dependencies(Clock clock, TargetCaller targets, EvidenceRecorder evidence, CrashPolicy crashPolicy) {}
}
