package org.sequoiashunt.limit;

import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Tells a refused caller when to come back.
 *
 * <p>Answers bursts and the return of those that were refused: a caller is asked back when room is expected, within the
 * part of its time in which it heeds the advice, and callers are spread so that they do not return together. One with
 * little time left is asked back sooner.
 *
 * <p>Thread-safe if the source of chance is. Invariant: the advice is positive.
 */
public final class RetryAfterPolicy {

    /** Shortest advice: a caller that comes back sooner finds the same queue. */
    private static final long MINIMUM_MS = 120;

    /** Advice while no target is known: about the time for one to announce itself or be found again. */
    private static final long UNKNOWN_WAIT_MS = 450;

    /** Others come back too: room for a caller is expected after the wait of the queue several times over. */
    private static final double QUEUE_TURNS = 3;

    /** Callers heed advice of up to this part of their time left, as the users state. */
    private static final double HEEDED_PART = 0.3;

    /** Spread around the expected wait. */
    private static final double SPREAD = 0.5;

    private final RandomGenerator random;

    /**
     * Creates the advice.
     *
     * @param random source of chance, not null.
     */
    public RetryAfterPolicy(final RandomGenerator random) {
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Computes when a caller should come back.
     *
     * @param waitMs the wait that the least loaded target expected, in milliseconds, zero if not known.
     * @param remainingMs the time that the caller has left, in milliseconds.
     * @return the delay in milliseconds.
     */
    public long delayMs(final long waitMs, final long remainingMs) {
        double spread = 1 + SPREAD * (2 * random.nextDouble() - 1);
        double roomMs = waitMs == 0 ? UNKNOWN_WAIT_MS : Math.max(MINIMUM_MS, waitMs * QUEUE_TURNS);
        double heededMs = Math.max(0, remainingMs) * HEEDED_PART;
        return Math.max(1, Math.round(Math.min(roomMs * spread, heededMs)));
    }
}
