package org.sequoiashunt.rollout;

import java.util.Arrays;

/**
 * Sums of the counts of one block for both versions of a move. Confined to one thread.
 */
final class VersionCounts {

    private final long[] newBuckets = new long[Evidence.BUCKETS];
    private final long[] oldBuckets = new long[Evidence.BUCKETS];
    private PairedCounts failures = PairedCounts.NONE;

    /**
     * Adds counts.
     *
     * @param evidence the counts, not null.
     * @param newVersion whether they belong to the new version.
     */
    void add(final Evidence evidence, final boolean newVersion) {
        long[] buckets = newVersion ? newBuckets : oldBuckets;
        for (int index = 0; index < Evidence.BUCKETS; index++) {
            buckets[index] += evidence.latencyBuckets().get(index);
        }
        failures = failures.plus(
                newVersion
                        ? new PairedCounts(evidence.requests(), evidence.failures(), 0, 0)
                        : new PairedCounts(0, 0, evidence.requests(), evidence.failures()));
    }

    /**
     * Returns calls and failures.
     *
     * @return the counts, never null.
     */
    PairedCounts failures() {
        return failures;
    }

    /**
     * Returns calls whose latency was taken, and those among them above a bucket.
     *
     * @param bucket the index of the highest bucket that is not slow.
     * @return the counts, never null.
     */
    PairedCounts slowerThan(final int bucket) {
        return new PairedCounts(
                Arrays.stream(newBuckets).sum(), above(newBuckets, bucket),
                Arrays.stream(oldBuckets).sum(), above(oldBuckets, bucket));
    }

    /**
     * Adds the old version's latencies to a histogram.
     *
     * @param histogram calls per bucket, changed in place.
     */
    void addOldLatencies(final double[] histogram) {
        for (int index = 0; index < Evidence.BUCKETS; index++) {
            histogram[index] += oldBuckets[index];
        }
    }

    private static long above(final long[] buckets, final int bucket) {
        return Arrays.stream(buckets, bucket + 1, buckets.length).sum();
    }
}
