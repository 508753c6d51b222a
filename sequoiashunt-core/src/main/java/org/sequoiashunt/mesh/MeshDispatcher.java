package org.sequoiashunt.mesh;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.GateCaller;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.dispatch.CallIdGenerator;
import org.sequoiashunt.limit.FirstAttemptEstimator;
import org.sequoiashunt.limit.SlidingWindowRetryBudget;
import org.sequoiashunt.placement.Placement;
import org.sequoiashunt.placement.PlacementCandidateSource;
import org.sequoiashunt.placement.RouteSizes;
import org.sequoiashunt.time.Clock;
import org.sequoiashunt.time.Delays;

/**
 * Brings callers' requests to targets: matches the route, deals out its services and versions, places the call, and
 * tries again where that can do no harm.
 *
 * <p>Thread-safe; never blocks.
 */
public final class MeshDispatcher {

    /** Time for a target's own answer at the deadline to arrive from another region. */
    private static final long EXPIRY_SLACK_MS = 110;

    private final Dependencies parts;
    private final FirstAttemptEstimator usualWaits = new FirstAttemptEstimator();
    private final RouteSizes sizes = new RouteSizes();

    /**
     * Creates a dispatcher.
     *
     * @param parts what it uses, not null.
     */
    public MeshDispatcher(final Dependencies parts) {
        this.parts = Objects.requireNonNull(parts, "parts");
    }

    /**
     * Finds the route of a request.
     *
     * @param host the host, not null.
     * @param path the path without a query, not null.
     * @return the route, or the refusal if there is none.
     */
    public Match match(final String host, final String path) {
        Optional<MeshConfiguration> configuration = parts.configuration().get();
        if (configuration.isEmpty()) {
            return new Match(Optional.empty(), Reason.NOT_READY);
        }
        return new Match(configuration.get().match(host, path), Reason.NO_ROUTE);
    }

    /**
     * Serves a request.
     *
     * @param call the request, not null.
     * @param route its route, not null.
     * @return completes with how it ended, never exceptionally, soon after its deadline or its route's timeout at the
     *     latest. Cancelling it ends the work on it.
     */
    public CompletableFuture<CallResult> dispatch(final MeshCall call, final MeshRoute route) {
        String service = parts.splits().choose(route);
        parts.retries().recordRequest(service);
        long waitedMs = usualWaits.recordAndEstimateElapsedMs(route.name(), call.deadlineMs() - call.arrivedMs());
        MeshAttempts attempts = new MeshAttempts(parts, call, route, service, waitedMs, sizes);
        long expiryMs = attempts.deadlineMs() + EXPIRY_SLACK_MS - parts.clock().nowMs();
        Runnable cancelExpiry = parts.delays().after(expiryMs, attempts::expire);
        attempts.result().whenComplete((ended, failure) -> cancelExpiry.run());
        attempts.next();
        return attempts.result();
    }

    /**
     * A route, or why there is none. Immutable and thread-safe.
     *
     * @param route the route.
     * @param refusal the reason, if the route is missing.
     */
    public record Match(Optional<MeshRoute> route, Reason refusal) {}

    /**
     * What a dispatcher uses. Immutable; thread-safe as its parts are.
     *
     * @param clock the clock.
     * @param delays ends requests at their deadline.
     * @param configuration the configuration in force.
     * @param splits deals requests to services.
     * @param versions deals requests to versions.
     * @param candidates lists targets.
     * @param placement chooses among them.
     * @param retries the budget of second attempts.
     * @param gates reaches the gates.
     * @param callIds gives identities to attempts.
     * @param observer told of each decision.
     */
    public record Dependencies(
            Clock clock,
            Delays delays,
            Supplier<Optional<MeshConfiguration>> configuration,
            WeightedServiceSelector splits,
            MeshVersionSelector versions,
            PlacementCandidateSource candidates,
            Placement placement,
            SlidingWindowRetryBudget retries,
            GateCaller gates,
            CallIdGenerator callIds,
            DispatchObserver observer) {}
}
