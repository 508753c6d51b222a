package org.sequoiashunt.trial.target;

/**
 * How a fake target answers requests: its share of failures and its added delay. Immutable and thread-safe.
 */
public enum TargetBehaviour {
    /** Answers each request. */
    GOOD(0.0, 0),
    /** Answers each request at once, without the service time of the fake target. */
    IMMEDIATE(0.0, 0),
    /** Fails one request in three, with status 500. */
    FAILING(0.33, 0),
    /** Answers each request 200 ms later than its service time. */
    SLOW(0.0, 200);

    private final double failureShare;
    private final long delayMs;

    TargetBehaviour(final double failureShare, final long delayMs) {
        this.failureShare = failureShare;
        this.delayMs = delayMs;
    }

    /**
     * Returns the share of requests that fail.
     *
     * @return a share from 0 to 1.
     */
    public double failureShare() {
        return failureShare;
    }

    /**
     * Returns the time added to each answer.
     *
     * @return milliseconds, zero or more.
     */
    public long delayMs() {
        return delayMs;
    }
}
