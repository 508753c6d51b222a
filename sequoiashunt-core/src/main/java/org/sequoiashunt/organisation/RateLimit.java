package org.sequoiashunt.organisation;

/**
 * Limit on a rate of requests: a steady rate and a burst on top of it.
 *
 * <p>Immutable and thread-safe. Invariant: the rate is positive and finite, the burst is finite and not negative.
 *
 * @param ratePerSecond the steady rate, in requests per second.
 * @param burst the requests allowed in addition to the steady rate.
 */
public record RateLimit(double ratePerSecond, double burst) {

    private static final double MS_PER_SECOND = 1_000;

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if the rate is not positive, the burst is negative, or either is not finite.
     */
    public RateLimit {
        if (!(ratePerSecond > 0) || Double.isInfinite(ratePerSecond)) {
            throw new IllegalArgumentException("the rate must be positive: " + ratePerSecond);
        }
        if (!(burst >= 0) || Double.isInfinite(burst)) {
            throw new IllegalArgumentException("the burst must not be negative: " + burst);
        }
    }

    /**
     * Returns the number of requests that the limit allows within a window.
     *
     * @param windowMs the length of the window, in milliseconds.
     * @return the number of requests.
     */
    public double requestsWithin(final long windowMs) {
        return ratePerSecond * windowMs / MS_PER_SECOND + burst;
    }
}
