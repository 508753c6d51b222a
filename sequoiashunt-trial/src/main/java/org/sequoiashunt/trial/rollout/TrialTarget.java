package org.sequoiashunt.trial.rollout;

/** Target in a trial: what it runs now and has run. Confined to one thread. */
final class TrialTarget {

    private static final double RATE_MEMORY_MS = 1_000;

    private int running;
    private long calls;
    private double rate;
    private long ratedAtMs;

    /**
     * Begins a request.
     *
     * @param nowMs the current time in milliseconds.
     */
    void begin(final long nowMs) {
        rate = ratePerMs(nowMs) + 1 / RATE_MEMORY_MS;
        ratedAtMs = nowMs;
        running++;
        calls++;
    }

    /** Ends a request. */
    void end() {
        running--;
    }

    /**
     * Returns the smoothed rate.
     *
     * @param nowMs the current time in milliseconds.
     * @return requests per millisecond.
     */
    double ratePerMs(final long nowMs) {
        return rate * Math.exp((ratedAtMs - nowMs) / RATE_MEMORY_MS);
    }

    /**
     * Returns how many requests run.
     *
     * @return the number.
     */
    int running() {
        return running;
    }

    /**
     * Returns how many requests were begun.
     *
     * @return the number.
     */
    long calls() {
        return calls;
    }
}
