package org.sequoiashunt.rollout;

/**
 * How many requests a service gets over a move, which decides how the move's time is best spent.
 *
 * <p>Immutable and thread-safe.
 */
enum TrafficLevel {
    /** Too little for the small steps to see anything. */
    LITTLE(0),
    /** Enough for the small steps; the large ones need some seconds. */
    SOME(4_000),
    /** The large steps see enough within their floors. */
    MUCH(20_000);

    private final double leastRequests;

    TrafficLevel(final double leastRequests) {
        this.leastRequests = leastRequests;
    }

    /**
     * Returns the level of a move.
     *
     * @param expectedRequests requests from the start of the move until it must be finished, zero or more.
     * @return the level, never null.
     */
    static TrafficLevel of(final double expectedRequests) {
        TrafficLevel level = LITTLE;
        for (TrafficLevel candidate : values()) {
            if (expectedRequests >= candidate.leastRequests) {
                level = candidate;
            }
        }
        return level;
    }
}
