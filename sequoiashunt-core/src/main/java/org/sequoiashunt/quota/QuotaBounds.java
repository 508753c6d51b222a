package org.sequoiashunt.quota;

import org.sequoiashunt.organisation.RateLimit;

/**
 * Bounds on the requests of an organisation that run within a sliding window, over all nodes.
 *
 * <p>Immutable and thread-safe.
 *
 * @param windowMs the length of the window, in milliseconds, at least {@value #MINIMUM_WINDOW_MS}.
 * @param over the part of the entitlement by which it may be exceeded, not negative.
 * @param slack the number of requests by which it may be exceeded in addition, not negative.
 */
public record QuotaBounds(long windowMs, double over, double slack) {

    static final long MINIMUM_WINDOW_MS = 1_000;

    /**
     * Part of the permitted excess that is granted. It makes up for the requests that a coordinator still counts
     * although they have left the window, since it learns of them late. The rest covers a change of the coordinator.
     */
    private static final double PLANNED_EXCESS = 0.7;

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if a component is out of range.
     */
    public QuotaBounds {
        if (windowMs < MINIMUM_WINDOW_MS || !(over >= 0) || !(slack >= 0)) {
            throw new IllegalArgumentException(
                    "quota bounds out of range: window " + windowMs + " ms, over " + over + ", slack " + slack);
        }
    }

    /**
     * Returns the most requests that may run within a window.
     *
     * @param limit the limit of the organisation, not null.
     * @return the number of requests.
     */
    public double maximum(final RateLimit limit) {
        return limit.requestsWithin(windowMs) * (1 + over) + slack;
    }

    /**
     * Returns the number of requests that nodes are granted within a window, above the entitlement and below the
     * maximum.
     *
     * @param limit the limit of the organisation, not null.
     * @return the number of requests.
     */
    double planned(final RateLimit limit) {
        double entitlement = limit.requestsWithin(windowMs);
        return entitlement + PLANNED_EXCESS * (maximum(limit) - entitlement);
    }
}
