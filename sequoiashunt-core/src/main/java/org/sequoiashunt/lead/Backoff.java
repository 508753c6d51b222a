package org.sequoiashunt.lead;

import java.util.random.RandomGenerator;

/**
 * Pauses between tries with full jitter: each is random between zero and a limit that doubles with every failure, so
 * that nodes that start or fail together do not try together.
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

    /** Returns the next pause in milliseconds, at least one, and doubles the limit. */
    long next() {
        long pauseMs = 1 + random.nextLong(limitMs);
        limitMs = Math.min(maximumMs, limitMs * 2);
        return pauseMs;
    }

    void reset() {
        limitMs = baseMs;
    }
}
