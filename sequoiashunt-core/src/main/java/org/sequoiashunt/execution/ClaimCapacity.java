package org.sequoiashunt.execution;

/**
 * Limits on the number of claims and the size of the recorded answers that a guard keeps in memory.
 *
 * <p>Immutable and thread-safe. Invariant: every bound is positive.
 *
 * @param claims maximum number of retained claims; further ones are refused.
 * @param outcomes maximum number of recorded answers; a new one evicts the oldest.
 * @param outcomeBytes maximum total size of the bodies and headers of the recorded answers, in bytes.
 */
public record ClaimCapacity(int claims, int outcomes, int outcomeBytes) {

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if a bound is not positive.
     */
    public ClaimCapacity {
        if (claims < 1 || outcomes < 1 || outcomeBytes < 1) {
            throw new IllegalArgumentException("claim capacity: claims, outcomes and outcomeBytes must be positive");
        }
    }

    /**
     * Returns the capacity for production.
     *
     * @return the capacity: 100,000 claims, and 2,000 answers of 2 MiB in total.
     */
    public static ClaimCapacity defaults() {
        return new ClaimCapacity(100_000, 2_000, 2_097_152);
    }
}
