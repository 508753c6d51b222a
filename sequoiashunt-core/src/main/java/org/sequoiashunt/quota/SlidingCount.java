package org.sequoiashunt.quota;

/**
 * Counts events within a sliding window of equal buckets. An event counts for the length of the window and up to one
 * bucket longer, never shorter. Not thread-safe.
 */
final class SlidingCount {

    private static final int BUCKETS = 50;

    private final long bucketMs;
    private final double[] buckets = new double[BUCKETS + 1];
    private long latestBucket = Long.MIN_VALUE / 2;
    private double sum;

    SlidingCount(final long windowMs) {
        this.bucketMs = Math.max(1, (windowMs + BUCKETS - 1) / BUCKETS);
    }

    /** Adds events that happened at a time, unless it has left the window. */
    void add(final long nowMs, final long atMs, final double count) {
        advanceTo(nowMs);
        long bucket = Math.floorDiv(Math.min(atMs, nowMs), bucketMs);
        if (count > 0 && bucket >= latestBucket - BUCKETS) {
            buckets[index(bucket)] += count;
            sum += count;
        }
    }

    /** Removes one event that was added at or after a time, if there is one. */
    void remove(final long nowMs, final long fromMs) {
        advanceTo(nowMs);
        long oldest = Math.max(Math.floorDiv(fromMs, bucketMs), latestBucket - BUCKETS);
        for (long bucket = oldest; bucket <= latestBucket; bucket++) {
            if (buckets[index(bucket)] >= 1) {
                buckets[index(bucket)]--;
                sum--;
                return;
            }
        }
    }

    /** Returns the number of events in the window. */
    double sum(final long nowMs) {
        advanceTo(nowMs);
        return sum;
    }

    /** Returns the events of the window in a number of equal parts, the latest part first. */
    int[] parts(final long nowMs, final int count) {
        advanceTo(nowMs);
        int[] parts = new int[count];
        for (int age = 0; age <= BUCKETS; age++) {
            parts[Math.min(count - 1, age * count / BUCKETS)] += (int) buckets[index(latestBucket - age)];
        }
        return parts;
    }

    private void advanceTo(final long nowMs) {
        long bucket = Math.floorDiv(nowMs, bucketMs);
        if (bucket <= latestBucket) {
            return;
        }
        for (long cleared = Math.max(latestBucket + 1, bucket - BUCKETS); cleared <= bucket; cleared++) {
            buckets[index(cleared)] = 0;
        }
        latestBucket = bucket;
        sum = 0;
        for (double count : buckets) {
            sum += count;
        }
    }

    private static int index(final long bucket) {
        return (int) Math.floorMod(bucket, (long) BUCKETS + 1);
    }
}
