package org.sequoiashunt.node.mesh;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import org.sequoiashunt.fleet.FleetView;
import org.sequoiashunt.organisation.Organisation;
import org.sequoiashunt.peer.PeerSender;
import org.sequoiashunt.quota.QuotaController;
import org.sequoiashunt.quota.QuotaDecision;
import org.sequoiashunt.quota.QuotaLimiter;
import org.sequoiashunt.time.Clock;

/**
 * Limits the requests of organisations at this node, and counts refusals by organisation.
 *
 * <p>Thread-safe; never blocks. Invariant: the number of counters is bounded; refusals of further organisations are
 * counted together.
 */
final class MeshQuota {

    private static final int MAXIMUM_COUNTED_ORGANISATIONS = 256;
    private static final String OTHER_ORGANISATIONS = "other";

    private final QuotaLimiter limiter;
    private final QuotaController controller;
    private final MeshMetrics metrics;
    private final Set<String> countedOrganisations = ConcurrentHashMap.newKeySet();

    MeshQuota(final MeshSettings settings, final long incarnation, final Dependencies dependencies) {
        this.metrics = dependencies.metrics();
        this.limiter = new QuotaLimiter(dependencies.clock(), settings.quotaBounds(), incarnation);
        DecisionLog log = dependencies.log();
        this.controller = new QuotaController(
                new QuotaController.Dependencies(
                        settings.location().node(),
                        settings.location().address(),
                        settings.capacity(),
                        dependencies.clock(),
                        dependencies.fleet(),
                        dependencies.configuration()::limits,
                        limiter,
                        dependencies.draining(),
                        dependencies.sender(),
                        (previous, next, nodes) ->
                                log.log(LogKind.QUOTA, "coordinator", next, "before", previous, "nodes", nodes)),
                settings.quotaBounds());
    }

    /** Returns the controller that exchanges counts and grants with the coordinator; its owner ticks it. */
    QuotaController controller() {
        return controller;
    }

    /** Decides whether a request may run; an admitted request is counted. */
    QuotaDecision tryAcquire(final Organisation organisation) {
        QuotaDecision decision = limiter.tryAcquire(organisation);
        if (!decision.admitted()) {
            metrics.count("quota_refused{organisation=\"" + labelOf(organisation.name()) + "\"}");
        }
        return decision;
    }

    /** Returns the permit of a request that was admitted after a time and has not run; see {@link QuotaLimiter}. */
    void giveBack(final Organisation organisation, final long beforeMs) {
        limiter.giveBack(organisation, beforeMs);
    }

    private String labelOf(final String organisation) {
        if (countedOrganisations.contains(organisation)) {
            return organisation;
        }
        boolean added =
                countedOrganisations.size() < MAXIMUM_COUNTED_ORGANISATIONS && countedOrganisations.add(organisation);
        return added ? organisation : OTHER_ORGANISATIONS;
    }

    /**
     * Collaborators of the limits. Immutable; as thread-safe as its components.
     *
     * @param clock the time source.
     * @param fleet the latest reports of the other nodes.
     * @param configuration the active configuration.
     * @param draining true once this node is shutting down.
     * @param sender sends messages to other nodes.
     * @param log the log of decisions.
     * @param metrics the counters of refusals.
     */
    record Dependencies(
            Clock clock,
            FleetView fleet,
            ActiveConfiguration configuration,
            BooleanSupplier draining,
            PeerSender sender,
            DecisionLog log,
            MeshMetrics metrics) {}
}
