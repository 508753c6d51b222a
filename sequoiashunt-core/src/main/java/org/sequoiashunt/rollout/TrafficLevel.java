package org.sequoiashunt.rollout;

/**
 * How much traffic a service has, which decides how a move's time is best spent.
 *
 * <p>Immutable and thread-safe.
 */
enum TrafficLevel {
    /** Too little for the small steps to see anything. */
    LITTLE(0),
    /** Enough for the small steps; the large ones need some seconds. */
    SOME(20),
    /** The large steps see enough within their floors. */
    MUCH(100);

    private final double leastRequestsPerSecond;

    TrafficLevel(final double leastRequestsPerSecond) {
        this.leastRequestsPerSecond = leastRequestsPerSecond;
    }

    /**
     * Returns the level of a rate.
     *
     * @param requestsPerSecond the rate, zero or more.
     * @return the level, never null.
     */
    static TrafficLevel of(final double requestsPerSecond) {
        TrafficLevel level = LITTLE;
        for (TrafficLevel candidate : values()) {
            if (requestsPerSecond >= candidate.leastRequestsPerSecond) {
                level = candidate;
            }
        }
        return level;
    }
}
