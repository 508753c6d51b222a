package org.sequoiashunt.limit;

import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Computes the delay after which a refused caller should retry.
 *
 * <p>The delay is the time after which capacity is expected, with random jitter so that the callers refused in a burst
 * do not retry together. It is limited to the part of the caller's remaining time in which callers follow the delay, so
 * a caller with little remaining time retries sooner.
 *
 * <p>Thread-safe if the random generator is. Invariant: the delay is positive.
 */
public final class RetryAfterPolicy {

    /** Shortest delay before jitter: a caller that retries sooner meets the same queue. */
    private static final long MINIMUM_EXPECTED_DELAY_MS = 120;

    /**
     * Delay before jitter if the expected wait is unknown because no target is known: about the time in which a target
     * announces itself or is found again.
     */
    private static final long DELAY_WITHOUT_TARGET_MS = 450;

    /** Delay before jitter as a multiple of the expected wait: other refused callers retry and wait as well. */
    private static final double QUEUE_WAIT_FACTOR = 3;

    /** Longest delay as a part of the remaining time: callers follow delays of up to this part, as the users state. */
    private static final double MAXIMUM_PART_OF_REMAINING = 0.3;

    /** Largest relative deviation of the delay, up or down. */
    private static final double JITTER_RATIO = 0.5;

    private final RandomGenerator random;

    /**
     * Creates a policy.
     *
     * @param random the source of the jitter, not null.
     */
    public RetryAfterPolicy(final RandomGenerator random) {
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Computes the delay until a refused caller should retry.
     *
     * @param expectedWaitMs the expected wait at the least loaded target, in milliseconds, zero if unknown.
     * @param remainingMs the caller's remaining time, in milliseconds; a negative time counts as zero.
     * @return the delay in milliseconds, positive.
     */
    public long delayMs(final long expectedWaitMs, final long remainingMs) {
        double jitterFactor = 1 + JITTER_RATIO * (2 * random.nextDouble() - 1);
        double expectedDelayMs = expectedWaitMs == 0
                ? DELAY_WITHOUT_TARGET_MS
                : Math.max(MINIMUM_EXPECTED_DELAY_MS, expectedWaitMs * QUEUE_WAIT_FACTOR);
        return bounded(expectedDelayMs * jitterFactor, remainingMs);
    }

    /**
     * Computes the delay until a caller whose organisation has used up its limit should retry. It is not shorter than
     * the expected wait, since a caller that comes back sooner is refused again.
     *
     * @param expectedWaitMs the time after which the limit is expected to have room, in milliseconds.
     * @param remainingMs the caller's remaining time, in milliseconds; a negative time counts as zero.
     * @return the delay in milliseconds, positive.
     */
    public long quotaDelayMs(final long expectedWaitMs, final long remainingMs) {
        return bounded(expectedWaitMs * (1 + JITTER_RATIO * random.nextDouble()), remainingMs);
    }

    private static long bounded(final double delayMs, final long remainingMs) {
        double maximumDelayMs = Math.max(0, remainingMs) * MAXIMUM_PART_OF_REMAINING;
        return Math.max(1, Math.round(Math.min(delayMs, maximumDelayMs)));
    }
}
