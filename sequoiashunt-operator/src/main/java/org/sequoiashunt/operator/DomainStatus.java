package org.sequoiashunt.operator;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.sequoiashunt.membership.DomainSummary;

/**
 * Whether the accepted version is in force in one failure domain. Immutable and thread-safe.
 *
 * @param failureDomain the failure domain.
 * @param region its region, empty if the domain has not reported.
 * @param state the state.
 * @param members how many nodes are alive.
 * @param lowestVersion the lowest version in force on a node that serves, zero for none.
 * @param highestVersion the highest version in force on a node, zero for none.
 * @param refusals why nodes refuse the accepted version, may be empty.
 * @param ageMs the age of the report, in milliseconds, zero if there is none.
 * @param stale whether the report is too old to rely on.
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

    /** Leads report several times within this time. */
    private static final long STALE_MS = 30_000;

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
        DomainSummary present = summary.get();
        long ageMs = Math.max(0, nowMs - present.atMs());
        return new DomainStatus(
                failureDomain,
                present.region(),
                State.of(present, acceptedVersion),
                present.members(),
                present.lowestVersion(),
                present.highestVersion(),
                present.refusals(),
                ageMs,
                ageMs > STALE_MS);
    }

    /** How far the accepted version has come. Immutable and thread-safe. */
    enum State {
        /** Every node that serves has it. */
        IN_FORCE,
        /** Every node that serves has a newer one, which nodes never give up. */
        NEWER,
        /** Some nodes have it. */
        PARTLY,
        /** No node has it. */
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
