package org.sequoiashunt.mesh;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.CallUrgency;
import org.sequoiashunt.call.Outcome;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.placement.PlacementCandidate;
import org.sequoiashunt.placement.RouteSizes;
import org.sequoiashunt.slot.SlotGate;

/**
 * The attempts to serve one request, one after the other.
 *
 * <p>Guarded by its own monitor; calls and completions happen outside of it. Invariants: a request that is not
 * idempotent goes to another target only if the one before has not run it; the request is reported as not run only if
 * no attempt may have run it; no more attempts reach targets than the route allows.
 */
final class MeshAttempts {

    /** Gates that may refuse a request before it is refused: their answers tell the load of the service. */
    private static final int MAXIMUM_REFUSALS = 2;

    /** Share of failures from which on a failed run is not the fault of one target: far above the ordinary 1%. */
    private static final double COMMON_FAILURE_SHARE = 0.15;

    /** Part of the objective that is left for the way between caller and entry. */
    private static final double OBJECTIVE_PART = 0.95;

    private final MeshDispatcher.Dependencies parts;
    private final MeshCall call;
    private final MeshRoute route;
    private final String service;
    private final long deadlineMs;
    private final RouteSizes sizes;
    private final long objectiveMs;
    private final boolean toNewVersion;
    private final CompletableFuture<CallResult> result = new CompletableFuture<>();
    private final Set<String> tried = new HashSet<>();
    private int attempts;
    private int arrivals;
    private int refusals;
    private long leastWaitMs = Long.MAX_VALUE;
    private CallResult worstEnd;

    MeshAttempts(
            final MeshDispatcher.Dependencies parts,
            final MeshCall call,
            final MeshRoute route,
            final String service,
            final long waitedMs,
            final RouteSizes sizes) {
        this.parts = parts;
        this.sizes = sizes;
        this.call = call;
        this.route = route;
        this.service = service;
        this.deadlineMs = Math.min(call.deadlineMs(), call.arrivedMs() + route.timeoutMs());
        this.objectiveMs = call.arrivedMs() - waitedMs + Math.round(route.objectiveMs() * OBJECTIVE_PART);
        this.toNewVersion = parts.versions().chooseNew(service);
    }

    CompletableFuture<CallResult> result() {
        return result;
    }

    /** Makes the next attempt, or ends the request. */
    void next() {
        if (result.isDone()) {
            return;
        }
        if (!isBeforeDeadline()) {
            finish(Reason.DEADLINE);
            return;
        }
        Optional<PlacementCandidate> choice = choose();
        if (choice.isEmpty()) {
            finish(wasRefused() ? Reason.QUEUE_FULL : Reason.NO_TARGET);
            return;
        }
        if (isHopeless(choice.get()) || !maySendAgain(choice.get())) {
            finish(Reason.QUEUE_FULL);
            return;
        }
        send(choice.get());
    }

    private synchronized boolean wasRefused() {
        return refusals > 0;
    }

    private synchronized Optional<PlacementCandidate> choose() {
        if (refusals >= MAXIMUM_REFUSALS) {
            return Optional.empty();
        }
        double traffic = sizes.factor(route.name());
        List<PlacementCandidate> all = parts.candidates().candidates(service);
        List<PlacementCandidate> eligible = parts.versions().filter(service, all, toNewVersion);
        Optional<PlacementCandidate> choice = parts.placement().choose(eligible, route.name(), traffic, tried);
        if (choice.isEmpty() && toNewVersion) {
            eligible = parts.versions().filter(service, all, false);
            choice = parts.placement().choose(eligible, route.name(), traffic, tried);
        }
        return choice;
    }

    /**
     * Tells whether even the best target is known to be too full to answer in time. Such a request is refused before it
     * crosses a link. One whose objective has passed still goes to a target with a free slot.
     */
    private synchronized boolean isHopeless(final PlacementCandidate best) {
        double waitMs = best.waitMs();
        if (waitMs <= 0) {
            return false;
        }
        long leftMs = objectiveMs - parts.clock().nowMs();
        boolean hopeless = best.finishMs(route.name()) > Math.max(0, leftMs);
        if (hopeless) {
            leastWaitMs = Math.min(leastWaitMs, Math.round(waitMs));
        }
        return hopeless;
    }

    /**
     * The first arrival at a target is free, later ones spend the shared budget. A run that failed is not repeated
     * where runs fail often too: its fault lies in what all targets call, and the calls of a repeated run spend the
     * budget of the services that are called.
     */
    private synchronized boolean maySendAgain(final PlacementCandidate next) {
        if (arrivals == 0) {
            return true;
        }
        if (worstEnd != null && worstEnd.answer().isPresent() && next.failureShare() > COMMON_FAILURE_SHARE) {
            return false;
        }
        return arrivals < route.attempts() && parts.retries().tryRetry(service);
    }

    private void send(final PlacementCandidate candidate) {
        int attempt;
        synchronized (this) {
            attempts++;
            attempt = attempts;
            tried.add(candidate.report().target());
        }
        parts.observer().placed(call, route, candidate, attempt);
        parts.candidates().sent(candidate);
        CompletableFuture<CallResult> running = parts.gates().call(candidate.address(), request(candidate));
        result.whenComplete((ended, failure) -> running.cancel(true));
        running.whenComplete((ended, failure) -> {
            CallResult known = failure == null ? ended : CallResult.unknown(Reason.CANCELLED);
            ended(candidate, known);
        });
    }

    private CallRequest request(final PlacementCandidate candidate) {
        return new CallRequest(
                parts.callIds().next(),
                service,
                route.name(),
                candidate.report().version(),
                candidate.report().target(),
                call.method(),
                call.uri(),
                call.headers(),
                call.body(),
                route.idempotent(),
                Optional.empty(),
                deadlineMs,
                new CallUrgency(route.rank(), objectiveMs));
    }

    private void ended(final PlacementCandidate candidate, final CallResult ended) {
        parts.candidates().ended(candidate, ended);
        ended.answer()
                .ifPresent(answer -> sizes.note(
                        route.name(), call.body().length() + answer.body().length()));
        if (result.isDone()) {
            return;
        }
        parts.observer().attemptEnded(call, route, candidate, ended);
        if (note(ended)) {
            next();
        } else {
            result.complete(ended);
        }
    }

    /** Notes the end of an attempt and tells whether another one may follow. */
    private synchronized boolean note(final CallResult ended) {
        boolean mayHaveArrived = ended.outcome() != Outcome.NOT_RUN || ended.reason() == Reason.SHED;
        if (mayHaveArrived) {
            arrivals++;
        } else {
            refusals++;
        }
        if (ended.reason() == Reason.QUEUE_FULL) {
            leastWaitMs = Math.min(leastWaitMs, ended.waitMs());
        }
        if (ended.outcome() == Outcome.NOT_RUN) {
            return true;
        }
        worstEnd = ended;
        return route.idempotent() && SlotGate.isFailure(ended) && isBeforeDeadline();
    }

    private boolean isBeforeDeadline() {
        return parts.clock().nowMs() < deadlineMs;
    }

    /** Ends the request without a good answer: what a target said or may have done goes before a refusal. */
    private void finish(final Reason reason) {
        CallResult end;
        synchronized (this) {
            end = worstEnd;
            if (end == null) {
                long waitMs = leastWaitMs == Long.MAX_VALUE ? 0 : leastWaitMs;
                end = CallResult.notRun(reason).withWait(waitMs);
            }
        }
        result.complete(end);
    }

    /**
     * Returns when the request must have ended.
     *
     * @return the time in milliseconds of the local clock.
     */
    long deadlineMs() {
        return deadlineMs;
    }

    /** Ends the request because its time is up: an attempt under way may have run. */
    void expire() {
        CallResult end;
        synchronized (this) {
            Optional<CallResponse> answer = worstEnd == null ? Optional.empty() : worstEnd.answer();
            boolean mayRun = attempts > refusals;
            end = mayRun ? CallResult.unknown(Reason.DEADLINE) : CallResult.notRun(Reason.DEADLINE);
            end = answer.map(CallResult::complete).orElse(end);
        }
        result.complete(end);
    }
}
