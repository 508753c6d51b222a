package org.sequoiashunt.execution;

/**
 * Attempt with the bookkeeping of its messages.
 *
 * <p>Thread-safe: the attempt has its own lock, and a lost update of the other fields only repeats a message.
 */
final class PendingAttempt {

    /** How often a release is sent, since one that is lost keeps the key blocked for the retention window. */
    private static final int RELEASE_SEND_COUNT = 2;

    private final ClaimAttempt attempt;
    private final long startMs;
    private volatile long lastRequestMs;
    private volatile boolean releasing;
    private volatile int remainingReleases;

    /**
     * Creates the bookkeeping of an attempt whose guards are asked now.
     *
     * @param attempt the attempt, not null.
     * @param nowMs the time.
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

    /** Begins to send releases. */
    void startReleasing() {
        releasing = true;
        remainingReleases = RELEASE_SEND_COUNT;
    }

    /**
     * Takes the next release to send.
     *
     * @return true if one must be sent.
     */
    boolean takeRelease() {
        if (remainingReleases <= 0) {
            return false;
        }
        remainingReleases--;
        return true;
    }
}
