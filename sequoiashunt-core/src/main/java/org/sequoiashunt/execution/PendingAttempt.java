package org.sequoiashunt.execution;

/**
 * Attempt with the bookkeeping of its messages.
 *
 * <p>Thread-safe: the attempt has its own lock, and a lost update of the other fields only repeats a message.
 */
final class PendingAttempt {

    /** How often a release is sent, since one that is lost keeps the key blocked for the retention window. */
    private static final int RELEASE_SENDS = 2;

    private final ClaimAttempt claim;
    private final long startMs;
    private volatile long askedMs;
    private volatile boolean releasing;
    private volatile int releasesLeft;

    /**
     * Creates the bookkeeping of an attempt whose guards are asked now.
     *
     * @param claim the attempt, not null.
     * @param nowMs the time.
     */
    PendingAttempt(final ClaimAttempt claim, final long nowMs) {
        this.claim = claim;
        this.startMs = nowMs;
        this.askedMs = nowMs;
    }

    ClaimAttempt claim() {
        return claim;
    }

    long startMs() {
        return startMs;
    }

    long askedMs() {
        return askedMs;
    }

    void asked(final long nowMs) {
        askedMs = nowMs;
    }

    boolean isReleasing() {
        return releasing;
    }

    /** Begins to send releases. */
    void startReleasing() {
        releasing = true;
        releasesLeft = RELEASE_SENDS;
    }

    /**
     * Takes the next release to send.
     *
     * @return true if one must be sent.
     */
    boolean takeRelease() {
        if (releasesLeft <= 0) {
            return false;
        }
        releasesLeft--;
        return true;
    }
}
