package org.sequoiashunt.routing;

/**
 * Distance from a caller's node to a target, nearest first. Immutable and thread-safe.
 */
public enum Locality {
    /** Same failure domain. */
    FAILURE_DOMAIN,
    /** Another failure domain of the same region. */
    REGION,
    /** Another region; traffic between regions is charged. */
    REMOTE;

    /**
     * Determines the distance.
     *
     * @param failureDomain the failure domain of the caller's node, not null.
     * @param region the region of the caller's node, not null.
     * @param candidate the target, not null.
     * @return the distance, never null.
     */
    public static Locality of(final String failureDomain, final String region, final Candidate candidate) {
        if (candidate.failureDomain().equals(failureDomain)) {
            return FAILURE_DOMAIN;
        }
        return candidate.region().equals(region) ? REGION : REMOTE;
    }
}
