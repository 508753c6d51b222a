package org.sequoiashunt.execution;

/**
 * Bounds on what a guard keeps.
 *
 * <p>Immutable and thread-safe. Invariant: every bound is positive.
 *
 * @param claims how many claims a guard retains; further ones are refused.
 * @param outcomes how many recorded answers a guard keeps; the oldest is dropped for a new one.
 * @param outcomeBytes how many bytes of bodies and headers the recorded answers hold in all.
 */
public record ClaimCapacity(int claims, int outcomes, int outcomeBytes) {

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if a bound is not positive.
     */
    public ClaimCapacity {
        if (claims < 1 || outcomes < 1 || outcomeBytes < 1) {
            throw new IllegalArgumentException("bounds must be positive");
        }
    }

    /**
     * Returns the bounds for production.
     *
     * @return the bounds.
     */
    public static ClaimCapacity defaults() {
        return new ClaimCapacity(100_000, 2_000, 2_097_152);
    }
}
