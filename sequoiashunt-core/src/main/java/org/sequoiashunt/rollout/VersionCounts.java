package org.sequoiashunt.rollout;

import java.util.Arrays;

/**
 * Sums the counts of one block over nodes, separately for the old and the new version of a move. Confined to one
 * thread.
 */
final class VersionCounts {

    private final long[] newBuckets = new long[Evidence.BUCKETS];
    private final long[] oldBuckets = new long[Evidence.BUCKETS];
    private PairedCounts failures = PairedCounts.NONE;

    /**
     * Adds counts.
     *
     * @param evidence the counts, not null.
     * @param newVersion whether the counts belong to the new version.
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
     * Returns the number of calls (trials) and of failures among them (events).
     *
     * @return the counts, never null.
     */
    PairedCounts failures() {
        return failures;
    }

    /**
     * Returns the number of calls whose latency was counted (trials), and of those above a bucket (events).
     *
     * @param bucket the index of the highest bucket that is not slow.
     * @return the counts, never null.
     */
    PairedCounts slowerThan(final int bucket) {
        return new PairedCounts(
                Arrays.stream(newBuckets).sum(), countAbove(newBuckets, bucket),
                Arrays.stream(oldBuckets).sum(), countAbove(oldBuckets, bucket));
    }

    /**
     * Adds the old version's latencies to a histogram.
     *
     * @param histogram calls per latency bucket, changed in place.
     */
    void addOldLatencies(final double[] histogram) {
        for (int index = 0; index < Evidence.BUCKETS; index++) {
            histogram[index] += oldBuckets[index];
        }
    }

    private static long countAbove(final long[] buckets, final int bucket) {
        return Arrays.stream(buckets, bucket + 1, buckets.length).sum();
    }
}
