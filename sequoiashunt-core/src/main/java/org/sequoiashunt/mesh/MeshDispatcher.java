package org.sequoiashunt.mesh;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongBiFunction;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.GateCaller;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.dispatch.CallIdGenerator;
import org.sequoiashunt.limit.FirstAttemptEstimator;
import org.sequoiashunt.limit.SlidingWindowRetryBudget;
import org.sequoiashunt.organisation.OrganisationDirectory;
import org.sequoiashunt.placement.Placement;
import org.sequoiashunt.placement.PlacementCandidateSource;
import org.sequoiashunt.placement.RouteSizes;
import org.sequoiashunt.time.Clock;
import org.sequoiashunt.time.Delays;

/**
 * Dispatches callers' requests to targets: matches the route, selects service, version and target, and retries where
 * that is safe.
 *
 * <p>Thread-safe; never blocks.
 */
public final class MeshDispatcher {

    /** Time after the deadline in which an answer that a target gives at the deadline arrives from another region. */
    private static final long EXPIRY_MARGIN_MS = 110;

    private final Dependencies dependencies;
    private final double linkMbps;
    private final FirstAttemptEstimator firstAttemptEstimator = new FirstAttemptEstimator();
    private final RouteSizes routeSizes = new RouteSizes();
    private final Set<MeshAttempts> activeRequests = ConcurrentHashMap.newKeySet();
    private volatile long stopMs = Long.MAX_VALUE;
    private volatile boolean stopped;

    /**
     * Creates a dispatcher that does not know the rate of its VM's link.
     *
     * @param dependencies the objects that the dispatcher calls, not null.
     */
    public MeshDispatcher(final Dependencies dependencies) {
        this(dependencies, 0);
    }

    /**
     * Creates a dispatcher.
     *
     * @param dependencies the objects that the dispatcher calls, not null.
     * @param linkMbps the rate of this VM's link, in Mbit/s; 0 if it is unknown, and the transfer of large bodies takes
     *     no time.
     */
    public MeshDispatcher(final Dependencies dependencies, final double linkMbps) {
        this.dependencies = Objects.requireNonNull(dependencies, "dependencies");
        this.linkMbps = linkMbps;
    }

    /**
     * Finds the route of a request.
     *
     * @param host the host, not null.
     * @param path the path without a query, not null.
     * @return the route, or the reason why there is none: no configuration yet, or no matching route.
     */
    public Match match(final String host, final String path) {
        Optional<MeshConfiguration> configuration = dependencies.configuration().get();
        if (configuration.isEmpty()) {
            return new Match(Optional.empty(), Reason.NOT_READY, OrganisationDirectory.NONE);
        }
        return new Match(
                configuration.get().match(host, path),
                Reason.NO_ROUTE,
                configuration.get().organisations());
    }

    /**
     * Serves a request.
     *
     * @param call the request, not null.
     * @param route its route, not null.
     * @return completes with the result of the request, never exceptionally, and at the latest
     *     {@value #EXPIRY_MARGIN_MS} ms after its deadline or its route's timeout. Cancelling it cancels the running
     *     attempt and prevents further ones.
     */
    public CompletableFuture<CallResult> dispatch(final MeshCall call, final MeshRoute route) {
        String service = dependencies.serviceSelector().choose(route);
        long quarantineMs = dependencies.quarantine().applyAsLong(service, call);
        if (quarantineMs > 0) {
            return CompletableFuture.completedFuture(
                    CallResult.notRun(Reason.QUARANTINED).withExpectedWait(quarantineMs));
        }
        dependencies.retryBudget().recordRequest(service);
        dependencies
                .retryBudget()
                .recordRepeatedCall(service, dependencies.repeatedRunShare().applyAsDouble(service));
        long earlierWaitMs =
                firstAttemptEstimator.recordAndEstimateElapsedMs(route.name(), call.deadlineMs() - call.arrivedMs());
        MeshAttempts attempts =
                new MeshAttempts(dependencies, call, route, service, earlierWaitMs, routeSizes, linkMbps, stopMs);
        activeRequests.add(attempts);
        long expiryMs =
                attempts.deadlineMs() + EXPIRY_MARGIN_MS - dependencies.clock().nowMs();
        Runnable cancelExpiry = dependencies.delays().after(expiryMs, attempts::expire);
        attempts.result().whenComplete((ended, failure) -> {
            cancelExpiry.run();
            activeRequests.remove(attempts);
        });
        if (stopped) {
            attempts.stop();
        }
        attempts.attemptNext();
        return attempts.result();
    }

    /**
     * Prepares for the stop of this node: withdraws the requests that wait at a gate and cannot end before, and refuses
     * those that are not expected to. Call it repeatedly until the stop.
     *
     * @param newStopMs when this node stops, in milliseconds of the local clock.
     */
    public void drain(final long newStopMs) {
        stopMs = newStopMs;
        activeRequests.forEach(attempts -> attempts.drain(newStopMs));
    }

    /** Ends all requests, also later ones: as not run if that is certain, otherwise as unknown. */
    public void stop() {
        stopped = true;
        activeRequests.forEach(MeshAttempts::stop);
    }

    /**
     * Result of matching a request: a route, or the reason for refusing the request. Immutable and thread-safe.
     *
     * @param route the route, or empty if there is none.
     * @param refusal the reason for a refusal; meaningful only if the route is empty.
     * @param organisations the organisations of the configuration that has the route.
     */
    public record Match(Optional<MeshRoute> route, Reason refusal, OrganisationDirectory organisations) {}

    /**
     * Objects that a dispatcher calls. Immutable; thread-safe if its components are.
     *
     * @param clock the clock.
     * @param delays schedules the expiry of requests.
     * @param configuration returns the configuration in force, or empty if there is none yet.
     * @param splits selects the service of a request.
     * @param versions selects the version of the service.
     * @param candidates lists the targets of a service.
     * @param placement chooses one of the targets.
     * @param retries limits the retries of a service.
     * @param gates sends calls to the gates of targets.
     * @param callIds generates the identities of attempts.
     * @param repeatedRunShare returns the probability that a request for a service is made by a repeated run.
     * @param quarantine returns how long a request for a service is still refused because it crashes targets, in
     *     milliseconds, zero if it may run.
     * @param observer receives each decision.
     */
    public record Dependencies(
            Clock clock,
            Delays delays,
            Supplier<Optional<MeshConfiguration>> configuration,
            WeightedServiceSelector serviceSelector,
            MeshVersionSelector versionSelector,
            PlacementCandidateSource candidateSource,
            Placement placement,
            SlidingWindowRetryBudget retryBudget,
            GateCaller gateCaller,
            CallIdGenerator callIdGenerator,
            ToDoubleFunction<String> repeatedRunShare,
            ToLongBiFunction<String, MeshCall> quarantine,
            DispatchObserver observer) {}
}
