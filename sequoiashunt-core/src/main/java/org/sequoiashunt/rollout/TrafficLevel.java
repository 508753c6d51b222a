package org.sequoiashunt.rollout;

/**
 * Classifies a move by the number of requests that the service gets during it, which decides how the move's time is
 * divided among the {@link RolloutStep}s.
 *
 * <p>Immutable and thread-safe.
 */
enum TrafficLevel {
    /** Too few requests for a fault to show in the small steps. */
    LOW(0),
    /** Enough requests for the small steps; the large steps need some seconds. */
    MEDIUM(4_000),
    /** Enough requests for the large steps within their minimum hold times. */
    HIGH(20_000);

    private final double minimumRequests;

    TrafficLevel(final double minimumRequests) {
        this.minimumRequests = minimumRequests;
    }

    /**
     * Returns the traffic level of a move.
     *
     * @param expectedRequests requests from the start of the move until it must be finished, zero or more.
     * @return the level, never null.
     */
    static TrafficLevel of(final double expectedRequests) {
        TrafficLevel level = LOW;
        for (TrafficLevel candidate : values()) {
            if (expectedRequests >= candidate.minimumRequests) {
                level = candidate;
            }
        }
        return level;
    }
}
