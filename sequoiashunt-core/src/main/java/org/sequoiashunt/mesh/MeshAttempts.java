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
import org.sequoiashunt.organisation.Organisation;
import org.sequoiashunt.placement.BodyTransfer;
import org.sequoiashunt.placement.PlacementCandidate;
import org.sequoiashunt.placement.PlacementNeed;
import org.sequoiashunt.placement.RegionConstraint;
import org.sequoiashunt.placement.RouteSizes;
import org.sequoiashunt.slot.SlotGate;

/**
 * Makes the attempts to serve one request, one after the other, each at another target.
 *
 * <p>Thread-safe: guarded by this object's monitor; calls and completions happen outside it. Invariants: a request that
 * is not idempotent is sent to another target only if the previous one did not run it; the request is reported as not
 * run only if no attempt may have run it; no more attempts reach targets than the route allows.
 */
final class MeshAttempts {

    /** Number of gate refusals after which a request is refused: by then they show that the service is overloaded. */
    private static final int MAXIMUM_GATE_REFUSALS = 2;

    /** Failure share of the next target above which failures are not due to a single target; about 1% is ordinary. */
    private static final double COMMON_FAILURE_SHARE = 0.15;

    /** Fraction of the objective available here; the rest is for the network between the caller and this node. */
    private static final double OBJECTIVE_FRACTION = 0.95;

    /** Number of ranks of routes within one rank of organisations. */
    private static final int ROUTE_RANKS = 1_000;

    /** Time before the stop at which attempts are withdrawn at the latest: gates in other regions reply within it. */
    private static final long MINIMUM_WITHDRAWAL_MS = 300;

    private final MeshDispatcher.Dependencies dependencies;
    private final MeshCall call;
    private final MeshRoute route;
    private final String service;
    private final long deadlineMs;
    private final RouteSizes routeSizes;
    private final BodyTransfer transfer;
    private final long objectiveMs;
    private final RegionConstraint regions;
    private final boolean useNewVersion;
    private final CompletableFuture<CallResult> result = new CompletableFuture<>();
    private final Set<String> triedTargets = new HashSet<>();
    /** Target and identity of the attempt that has not ended, null if there is none. */
    private PlacementCandidate runningTarget;

    private String runningCallId;
    private boolean withdrawn;
    /** Whether a gate knows that the request crashes targets. */
    private boolean quarantined;
    /** When this node stops, in milliseconds of the local clock. */
    private long stopMs;

    private int attemptCount;
    /** Attempts that reached a target, or may have. */
    private int targetArrivals;

    private int gateRefusals;
    /** Failure domains whose gates refused the request because they are evacuated, each counted in the refusals. */
    private final Set<String> evacuatedDomains = new HashSet<>();

    private int evacuationRefusals;
    /** Shortest expected wait of the refusals, or the maximum value if none has reported one. */
    private long shortestWaitMs = Long.MAX_VALUE;
    /** Result of the latest attempt that ran or may have run, null if there is none. */
    private CallResult possibleRunResult;

    MeshAttempts(
            final MeshDispatcher.Dependencies dependencies,
            final MeshCall call,
            final MeshRoute route,
            final String service,
            final long earlierWaitMs,
            final RouteSizes routeSizes,
            final double linkMbps,
            final long stopMs) {
        this.dependencies = dependencies;
        this.routeSizes = routeSizes;
        this.stopMs = stopMs;
        this.call = call;
        this.route = route;
        this.service = service;
        this.deadlineMs = Math.min(call.deadlineMs(), call.arrivedMs() + route.timeoutMs());
        this.objectiveMs = call.arrivedMs() - earlierWaitMs + Math.round(route.objectiveMs() * OBJECTIVE_FRACTION);
        this.regions = new RegionConstraint(
                route.regions(), call.organisation().map(Organisation::regions).orElse(Set.of()));
        this.transfer = transferOf(call, route, routeSizes, linkMbps);
        this.useNewVersion = dependencies.versionSelector().chooseNewVersion(service);
    }

    /** An upload's body is here already; the answer of a download is expected to be as long as others were. */
    private static BodyTransfer transferOf(
            final MeshCall call, final MeshRoute route, final RouteSizes routeSizes, final double linkMbps) {
        return switch (route.kind()) {
            case UPLOAD -> new BodyTransfer(linkMbps, call.body().length());
            case DOWNLOAD -> new BodyTransfer(linkMbps, routeSizes.meanBytes(route.name()));
            case IDEMPOTENT, NON_IDEMPOTENT -> BodyTransfer.NONE;
        };
    }

    CompletableFuture<CallResult> result() {
        return result;
    }

    /** Starts the next attempt, or ends the request if no further attempt is possible or allowed. */
    void attemptNext() {
        if (result.isDone()) {
            return;
        }
        if (!isBeforeDeadline()) {
            endWithoutNewAttempt(Reason.DEADLINE);
            return;
        }
        Optional<PlacementCandidate> choice = chooseTarget();
        if (choice.isEmpty()) {
            endWithoutNewAttempt(reasonWithoutTarget());
            return;
        }
        if (outlastsStop(choice.get())) {
            endWithoutNewAttempt(Reason.DRAINING);
            return;
        }
        if (exceedsObjective(choice.get()) || !maySend(choice.get())) {
            endWithoutNewAttempt(Reason.QUEUE_FULL);
            return;
        }
        send(choice.get());
    }

    private synchronized Reason reasonWithoutTarget() {
        if (quarantined) {
            return Reason.QUARANTINED;
        }
        return gateRefusals > evacuationRefusals ? Reason.QUEUE_FULL : Reason.NO_TARGET;
    }

    private synchronized Optional<PlacementCandidate> chooseTarget() {
        if (quarantined || gateRefusals - evacuationRefusals >= MAXIMUM_GATE_REFUSALS) {
            return Optional.empty();
        }
        PlacementNeed need = new PlacementNeed(
                route.name(),
                routeSizes.trafficFactor(route.name()),
                route.objectiveMs(),
                objectiveMs - dependencies.clock().nowMs(),
                transfer);
        List<PlacementCandidate> all = dependencies.candidateSource().candidates(service, regions).stream()
                .filter(candidate -> !evacuatedDomains.contains(candidate.failureDomain()))
                .toList();
        List<PlacementCandidate> eligible = dependencies.versionSelector().filter(service, all, useNewVersion);
        Optional<PlacementCandidate> choice = dependencies.placement().choose(eligible, need, triedTargets);
        if (choice.isEmpty() && useNewVersion) {
            eligible = dependencies.versionSelector().filter(service, all, false);
            choice = dependencies.placement().choose(eligible, need, triedTargets);
        }
        return choice;
    }

    /**
     * Returns whether even the best target has no free slot and is expected to answer after the objective. Such a
     * request is refused here, without being sent over a link. A request whose objective has passed is still sent to a
     * target with a free slot.
     */
    private synchronized boolean exceedsObjective(final PlacementCandidate best) {
        double waitMs = best.expectedWaitMs();
        if (waitMs <= 0) {
            return false;
        }
        long remainingMs = objectiveMs - dependencies.clock().nowMs();
        boolean isTooLate = expectedResponseMs(best) > Math.max(0, remainingMs);
        if (isTooLate) {
            shortestWaitMs = Math.min(shortestWaitMs, Math.round(waitMs));
        }
        return isTooLate;
    }

    /** Returns whether an attempt at a target that starts now is expected to end after this node stops. */
    private synchronized boolean outlastsStop(final PlacementCandidate candidate) {
        return dependencies.clock().nowMs() + expectedResponseMs(candidate) > stopMs;
    }

    private double expectedResponseMs(final PlacementCandidate candidate) {
        return candidate.expectedResponseMs(route.name()) + transfer.expectedMs(candidate.distance());
    }

    /** Returns until when the target must have answered, so that a large answer gets here within the objective. */
    private long targetObjectiveMs(final PlacementCandidate candidate) {
        return route.kind() == RequestKind.DOWNLOAD
                ? objectiveMs - Math.round(transfer.expectedMs(candidate.distance()))
                : objectiveMs;
    }

    /**
     * Returns whether the request may be sent to a target. Until one attempt has reached a target, sending is free;
     * after that, each attempt spends the retry budget that the requests of the service share. A request with a failed
     * answer is not sent to a target that fails often too: the fault is probably in a service that all targets call,
     * and the calls that a repeated run makes would spend the retry budget of those services.
     */
    private synchronized boolean maySend(final PlacementCandidate next) {
        if (targetArrivals == 0) {
            return true;
        }
        if (possibleRunResult != null
                && possibleRunResult.response().isPresent()
                && next.failureShare() > COMMON_FAILURE_SHARE) {
            return false;
        }
        return targetArrivals < route.attempts() && dependencies.retryBudget().tryRetry(service);
    }

    private void send(final PlacementCandidate candidate) {
        CallRequest request = request(candidate);
        int attempt;
        synchronized (this) {
            attemptCount++;
            attempt = attemptCount;
            triedTargets.add(candidate.report().target());
        }
        dependencies.observer().targetChosen(call, route, candidate, attempt);
        dependencies.candidateSource().recordSent(candidate);
        CompletableFuture<CallResult> running = dependencies.gateCaller().call(candidate.address(), request);
        synchronized (this) { // Only now the gate caller knows the call, so that it can be withdrawn.
            runningTarget = candidate;
            runningCallId = request.callId();
            withdrawn = false;
        }
        result.whenComplete((ended, failure) -> running.cancel(true));
        running.whenComplete((ended, failure) -> {
            CallResult attemptResult = failure == null ? ended : CallResult.unknown(Reason.CANCELLED);
            attemptEnded(candidate, attemptResult);
        });
    }

    private CallRequest request(final PlacementCandidate candidate) {
        return new CallRequest(
                dependencies.callIdGenerator().next(),
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
                new CallUrgency(
                        call.organisationRank() * ROUTE_RANKS + Math.min(route.rank(), ROUTE_RANKS - 1),
                        targetObjectiveMs(candidate)),
                isRepeated(),
                call.organisation().map(Organisation::name).orElse(""));
    }

    private synchronized boolean isRepeated() {
        return targetArrivals > 0;
    }

    private void attemptEnded(final PlacementCandidate candidate, final CallResult attemptResult) {
        dependencies.candidateSource().recordEnded(candidate, attemptResult);
        attemptResult
                .response()
                .ifPresent(answer -> routeSizes.recordCall(
                        route.name(), call.body().length() + answer.body().length()));
        if (result.isDone()) {
            return;
        }
        dependencies.observer().attemptEnded(call, route, candidate, attemptResult);
        if (recordAttempt(candidate, attemptResult)) {
            attemptNext();
        } else {
            result.complete(attemptResult);
        }
    }

    /** Records the result of an attempt and returns whether another attempt may follow. */
    private synchronized boolean recordAttempt(final PlacementCandidate candidate, final CallResult attemptResult) {
        runningTarget = null;
        boolean mayHaveReachedTarget =
                attemptResult.outcome() != Outcome.NOT_RUN || attemptResult.reason() == Reason.SHED;
        if (mayHaveReachedTarget) {
            targetArrivals++;
        } else {
            gateRefusals++;
        }
        if (attemptResult.reason() == Reason.EVACUATED) {
            evacuationRefusals++;
            evacuatedDomains.add(candidate.failureDomain());
        }
        quarantined |= attemptResult.reason() == Reason.QUARANTINED;
        if (attemptResult.reason() == Reason.QUEUE_FULL) {
            shortestWaitMs = Math.min(shortestWaitMs, attemptResult.expectedWaitMs());
        }
        if (attemptResult.outcome() == Outcome.NOT_RUN) {
            return true;
        }
        possibleRunResult = attemptResult;
        return route.idempotent() && attemptResult.isFailure() && isBeforeDeadline();
    }

    private boolean isBeforeDeadline() {
        return dependencies.clock().nowMs() < deadlineMs;
    }

    /** Ends the request with the latest result of a possible run, or as refused if no attempt may have run. */
    private void endWithoutNewAttempt(final Reason reason) {
        CallResult end;
        synchronized (this) {
            end = possibleRunResult;
            if (end == null) {
                long waitMs = shortestWaitMs == Long.MAX_VALUE ? 0 : shortestWaitMs;
                end = CallResult.notRun(reason).withExpectedWait(waitMs);
            }
        }
        result.complete(end);
    }

    /**
     * Withdraws the running attempt from its gate if it probably has not started in time to end before this node stops.
     * Further attempts are made only if they are expected to end before.
     *
     * @param newStopMs when this node stops, in milliseconds of the local clock.
     */
    void drain(final long newStopMs) {
        PlacementCandidate target;
        String callId;
        synchronized (this) {
            stopMs = newStopMs;
            long likelyMs = runningTarget == null
                    ? 0
                    : Math.round(SlotGate.LIKELY_SERVICE_FACTOR
                            * runningTarget.report().meanRouteMs(route.name()));
            long latestStartMs = stopMs - Math.max(MINIMUM_WITHDRAWAL_MS, likelyMs);
            if (runningTarget == null || withdrawn || dependencies.clock().nowMs() < latestStartMs) {
                return;
            }
            withdrawn = true;
            target = runningTarget;
            callId = runningCallId;
        }
        dependencies.observer().attemptWithdrawn(call, route, target);
        dependencies.gateCaller().withdrawCall(target.address(), callId);
    }

    /**
     * Returns the deadline: the earlier one of the caller's deadline and the route's timeout.
     *
     * @return the time in milliseconds of the local clock.
     */
    long deadlineMs() {
        return deadlineMs;
    }

    /** Ends the request at its deadline, see {@link #endNow}. */
    void expire() {
        endNow(Reason.DEADLINE);
    }

    /** Ends the request because this node stops, see {@link #endNow}. */
    void stop() {
        endNow(Reason.DRAINING);
    }

    /**
     * Ends the request: with the latest failed answer if there is one, as unknown if an attempt may have run, otherwise
     * as not run.
     */
    private void endNow(final Reason reason) {
        CallResult end;
        synchronized (this) {
            Optional<CallResponse> answer = possibleRunResult == null ? Optional.empty() : possibleRunResult.response();
            boolean mayHaveRun = attemptCount > gateRefusals;
            end = mayHaveRun ? CallResult.unknown(reason) : CallResult.notRun(reason);
            end = answer.map(CallResult::complete).orElse(end);
        }
        result.complete(end);
    }
}
