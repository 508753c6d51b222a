package org.sequoiashunt.link;

import java.util.random.RandomGenerator;

/**
 * Computes the delay before the next attempt to connect: random up to a bound that doubles with each failure.
 *
 * <p>Confined to the thread of its link.
 */
final class ReconnectDelay {

    private static final long FIRST_BOUND_MS = 50;
    private static final int MAXIMUM_DOUBLINGS = 5; // At most 1.6 s, so that a recovered peer is reconnected soon.

    private final RandomGenerator random;
    private int failures;

    ReconnectDelay(final RandomGenerator random) {
        this.random = random;
    }

    long nextMs() {
        long boundMs = FIRST_BOUND_MS << Math.min(failures, MAXIMUM_DOUBLINGS);
        failures++;
        return random.nextLong(boundMs) + 1;
    }

    void reset() {
        failures = 0;
    }
}
