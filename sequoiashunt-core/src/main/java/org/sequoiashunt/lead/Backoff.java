package org.sequoiashunt.lead;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter: each pause is random, up to a limit that doubles with every call, so that nodes
 * that start or fail at the same time do not retry at the same time.
 *
 * <p>Confined to one thread.
 */
final class Backoff {

    private final long baseMs;
    private final long maximumMs;
    private final RandomGenerator random;
    private long limitMs;

    Backoff(final long baseMs, final long maximumMs, final RandomGenerator random) {
        this.baseMs = baseMs;
        this.maximumMs = maximumMs;
        this.random = random;
        this.limitMs = baseMs;
    }

    /** Returns the next pause in milliseconds, from 1 to the limit, then doubles the limit up to the maximum. */
    long nextPauseMs() {
        long pauseMs = 1 + random.nextLong(limitMs);
        limitMs = Math.min(maximumMs, limitMs * 2);
        return pauseMs;
    }

    /** Sets the limit back to the base, after a success. */
    void reset() {
        limitMs = baseMs;
    }
}
