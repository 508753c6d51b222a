package org.sequoiashunt.operator;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.sequoiashunt.membership.DomainSummary;

/**
 * Distribution of the accepted version among the nodes of one failure domain, from its latest report. Immutable and
 * thread-safe.
 *
 * @param failureDomain the failure domain.
 * @param region the region of the failure domain, empty if it has not reported.
 * @param state how far the accepted version is in force.
 * @param members the number of nodes that are alive.
 * @param lowestVersion the lowest version in force on a node that serves, zero for none.
 * @param highestVersion the highest version in force on a node, zero for none.
 * @param refusals the reasons for which nodes refuse the accepted version, may be empty.
 * @param ageMs the age of the report, in milliseconds, zero if there is none.
 * @param stale whether the report is missing or older than 30 seconds.
 */
record DomainStatus(
        String failureDomain,
        String region,
        State state,
        int members,
        long lowestVersion,
        long highestVersion,
        List<String> refusals,
        long ageMs,
        boolean stale) {

    /** Age above which a report is stale; the lead of a failure domain reports several times within this time. */
    private static final long STALE_AFTER_MS = 30_000;

    DomainStatus {
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(state, "state");
        refusals = List.copyOf(refusals);
    }

    static DomainStatus of(
            final String failureDomain,
            final Optional<DomainSummary> summary,
            final long acceptedVersion,
            final long nowMs) {
        if (summary.isEmpty()) {
            return new DomainStatus(failureDomain, "", State.NO_REPORT, 0, 0, 0, List.of(), 0, true);
        }
        DomainSummary reported = summary.get();
        long ageMs = Math.max(0, nowMs - reported.atMs());
        return new DomainStatus(
                failureDomain,
                reported.region(),
                State.of(reported, acceptedVersion),
                reported.members(),
                reported.lowestVersion(),
                reported.highestVersion(),
                reported.refusals(),
                ageMs,
                ageMs > STALE_AFTER_MS);
    }

    /** How far the accepted version is in force in a failure domain. Immutable and thread-safe. */
    enum State {
        /** Every serving node has the accepted version. */
        IN_FORCE,
        /** Every serving node has a newer version; nodes never return to an older one. */
        NEWER,
        /** Some nodes have the accepted version or a newer one, others have an older one. */
        PARTLY,
        /** No node has the accepted version. */
        NOT_IN_FORCE,
        /** The failure domain has not reported. */
        NO_REPORT;

        private static State of(final DomainSummary summary, final long acceptedVersion) {
            if (summary.lowestVersion() > acceptedVersion) {
                return NEWER;
            }
            if (summary.lowestVersion() == acceptedVersion) {
                return IN_FORCE;
            }
            return summary.highestVersion() >= acceptedVersion ? PARTLY : NOT_IN_FORCE;
        }
    }
}
