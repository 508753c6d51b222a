package org.sequoiashunt.execution;

/**
 * Pairs a claim attempt with the times of its requests and the number of releases still to send.
 *
 * <p>Thread-safe: the attempt has a separate lock; a lost update of the other fields only causes a message to be sent
 * once more.
 */
final class PendingAttempt {

    /** How often a release is sent; if all copies are lost, the key stays blocked for the retention window. */
    private static final int RELEASE_SEND_COUNT = 2;

    private final ClaimAttempt attempt;
    private final long startMs;
    private volatile long lastRequestMs;
    private volatile boolean releasing;
    private volatile int remainingReleases;

    /**
     * Creates the record of an attempt whose first requests are sent now.
     *
     * @param attempt the claim attempt, not null.
     * @param nowMs the current time, in milliseconds of the local clock.
     */
    PendingAttempt(final ClaimAttempt attempt, final long nowMs) {
        this.attempt = attempt;
        this.startMs = nowMs;
        this.lastRequestMs = nowMs;
    }

    ClaimAttempt attempt() {
        return attempt;
    }

    long startMs() {
        return startMs;
    }

    long lastRequestMs() {
        return lastRequestMs;
    }

    void recordRequest(final long nowMs) {
        lastRequestMs = nowMs;
    }

    boolean isReleasing() {
        return releasing;
    }

    /** Schedules the releases of the attempt. */
    void startReleasing() {
        releasing = true;
        remainingReleases = RELEASE_SEND_COUNT;
    }

    /**
     * Takes one release from those still to send.
     *
     * @return true if a release must be sent, false if none is left.
     */
    boolean takeRelease() {
        if (remainingReleases <= 0) {
            return false;
        }
        remainingReleases--;
        return true;
    }
}
