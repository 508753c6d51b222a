package org.sequoiashunt.trial.rollout;

import java.util.random.RandomGenerator;

/** Routes of the service in a trial, with their part of the traffic. Immutable and thread-safe. */
enum TrialRoute {
    /** Short and frequent. */
    LOOKUP("lookup", 0.7, 8),
    /** Less frequent. */
    RESERVE("reserve", 0.2, 15),
    /** Long and rare. */
    RELEASE("release", 0.1, 25);

    private final String routeName;
    private final double part;
    private final double medianMs;

    TrialRoute(final String routeName, final double part, final double medianMs) {
        this.routeName = routeName;
        this.part = part;
        this.medianMs = medianMs;
    }

    /**
     * Draws the route of one request.
     *
     * @param random the source of chance, not null.
     * @return the route, never null.
     */
    static TrialRoute draw(final RandomGenerator random) {
        double chance = random.nextDouble();
        for (TrialRoute route : values()) {
            chance -= route.part;
            if (chance < 0) {
                return route;
            }
        }
        return RELEASE;
    }

    /**
     * Returns the name.
     *
     * @return the name, never null.
     */
    String routeName() {
        return routeName;
    }

    /**
     * Returns the median latency.
     *
     * @return milliseconds.
     */
    double medianMs() {
        return medianMs;
    }
}
