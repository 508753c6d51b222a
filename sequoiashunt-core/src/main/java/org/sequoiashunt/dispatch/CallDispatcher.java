package org.sequoiashunt.dispatch;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.GateCaller;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.execution.ClaimService;
import org.sequoiashunt.limit.RetryBudget;
import org.sequoiashunt.routing.CandidateSource;
import org.sequoiashunt.routing.RoutingTable;
import org.sequoiashunt.routing.RoutingTable.RouteMatch;
import org.sequoiashunt.routing.TargetSelector;
import org.sequoiashunt.routing.VersionSelector;
import org.sequoiashunt.time.Clock;

/**
 * Dispatches callers' requests: matches the route, claims the key, and makes attempts until one ends the call.
 *
 * <p>A call is tried again only where its outcome permits it, while its deadline and the retry budget last. A call
 * whose route is not idempotent and which carries a key is dispatched only after its key was claimed.
 *
 * <p>Thread-safe.
 */
public final class CallDispatcher {

    private final Dependencies dependencies;
    private final RetryBudget retryBudget;

    /**
     * Creates a dispatcher.
     *
     * @param dependencies the components that the dispatcher uses, not null.
     */
    public CallDispatcher(final Dependencies dependencies) {
        this.dependencies = Objects.requireNonNull(dependencies, "dependencies");
        this.retryBudget = new RetryBudget(dependencies.clock());
    }

    /**
     * Serves a request.
     *
     * @param call the request, not null.
     * @return completes with the result of the call, never exceptionally. Cancelling it cancels the current attempt.
     */
    public CompletableFuture<CallResult> dispatch(final IncomingCall call) {
        Objects.requireNonNull(call, "call");
        RoutingTable table = dependencies.routingTable().get();
        if (table.version() == 0) {
            return CompletableFuture.completedFuture(refusal(call, Reason.NOT_READY));
        }
        Optional<RouteMatch> match = table.match(call.service(), call.method(), call.path());
        if (match.isEmpty()) {
            return CompletableFuture.completedFuture(refusal(call, Reason.NO_ROUTE));
        }
        return start(call, match.get());
    }

    /** The outcome of a call with an unchecked key is unknown: an earlier call with that key may have run. */
    private static CallResult refusal(final IncomingCall call, final Reason reason) {
        return call.key().isPresent() ? CallResult.unknown(reason) : CallResult.notRun(reason);
    }

    private CompletableFuture<CallResult> start(final IncomingCall call, final RouteMatch match) {
        long nowMs = dependencies.clock().nowMs();
        long limitMs = match.route().timeoutMs();
        long timeoutMs = Math.max(0, Math.min(limitMs, call.timeoutMs().orElse(limitMs)));
        retryBudget.recordFirstAttempt();
        DispatchedCall dispatched = new DispatchedCall(dependencies, retryBudget, call, match, nowMs + timeoutMs);
        return dispatched.start();
    }

    /**
     * Holds the components that a dispatcher uses. Immutable and thread-safe.
     *
     * @param clock the clock.
     * @param routingTable gives the table in force.
     * @param versions chooses target versions.
     * @param candidates lists targets.
     * @param selector selects targets.
     * @param gates sends calls to gates.
     * @param claims claims idempotency keys.
     * @param callIds generates the identifiers of claims and attempts.
     * @param observer receives the result of each attempt.
     */
    public record Dependencies(
            Clock clock,
            Supplier<RoutingTable> routingTable,
            VersionSelector versions,
            CandidateSource candidates,
            TargetSelector selector,
            GateCaller gates,
            ClaimService claims,
            CallIdGenerator callIds,
            AttemptObserver observer) {

        /**
         * Checks the components.
         *
         * @throws NullPointerException if a component is null.
         */
        public Dependencies {
            Objects.requireNonNull(clock, "clock");
            Objects.requireNonNull(routingTable, "routingTable");
            Objects.requireNonNull(versions, "versions");
            Objects.requireNonNull(candidates, "candidates");
            Objects.requireNonNull(selector, "selector");
            Objects.requireNonNull(gates, "gates");
            Objects.requireNonNull(claims, "claims");
            Objects.requireNonNull(callIds, "callIds");
            Objects.requireNonNull(observer, "observer");
        }
    }
}
