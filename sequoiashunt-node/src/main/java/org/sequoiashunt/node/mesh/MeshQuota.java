package org.sequoiashunt.node.mesh;

import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.sequoiashunt.organisation.Organisation;
import org.sequoiashunt.quota.QuotaDecision;
import org.sequoiashunt.quota.QuotaLimiter;

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
    private final MeshMetrics metrics;
    private final Set<String> countedOrganisations = ConcurrentHashMap.newKeySet();

    MeshQuota(final QuotaLimiter limiter, final MeshMetrics metrics) {
        this.limiter = Objects.requireNonNull(limiter, "limiter");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    /** Decides whether a request may run; an admitted request is counted. */
    QuotaDecision tryAcquire(final Organisation organisation) {
        QuotaDecision decision = limiter.tryAcquire(organisation);
        if (!decision.admitted()) {
            metrics.count("quota_refused{organisation=\"" + labelOf(organisation.name()) + "\"}");
        }
        return decision;
    }

    private String labelOf(final String organisation) {
        if (countedOrganisations.contains(organisation)) {
            return organisation;
        }
        boolean added =
                countedOrganisations.size() < MAXIMUM_COUNTED_ORGANISATIONS && countedOrganisations.add(organisation);
        return added ? organisation : OTHER_ORGANISATIONS;
    }
}
