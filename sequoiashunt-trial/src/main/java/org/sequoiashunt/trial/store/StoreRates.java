package org.sequoiashunt.trial.store;

/**
 * Rate limits that the fake store enforces. Immutable and thread-safe. Invariant: both are positive.
 *
 * @param readsPerSecond reads, lists and watches a second.
 * @param writesPerSecond writes and lease calls a second.
 */
public record StoreRates(int readsPerSecond, int writesPerSecond) {

    /** Rates of the platform's store: two thousand reads and several hundred writes a second. */
    public static final StoreRates PLATFORM = new StoreRates(2_000, 400);

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if a rate is not positive.
     */
    public StoreRates {
        if (readsPerSecond < 1 || writesPerSecond < 1) {
            throw new IllegalArgumentException("rates must be positive: " + readsPerSecond + " and " + writesPerSecond);
        }
    }
}
