package org.sequoiashunt.quota;

/** Greatest of the values recorded within a sliding window, to a tenth of the window. Not thread-safe. */
final class SlidingMaximum {

    private static final int BUCKETS = 10;

    private final long bucketMs;
    private final int[] greatest = new int[BUCKETS + 1];
    private final long[] bucketNumbers = new long[BUCKETS + 1];

    SlidingMaximum(final long windowMs) {
        this.bucketMs = windowMs / BUCKETS;
    }

    void record(final long nowMs, final int value) {
        long bucket = nowMs / bucketMs;
        int index = (int) (bucket % (BUCKETS + 1));
        greatest[index] = bucketNumbers[index] == bucket ? Math.max(greatest[index], value) : value;
        bucketNumbers[index] = bucket;
    }

    /** Returns the greatest value, at least 1. */
    int value(final long nowMs) {
        long oldest = nowMs / bucketMs - BUCKETS;
        int value = 1;
        for (int index = 0; index < greatest.length; index++) {
            if (bucketNumbers[index] >= oldest) {
                value = Math.max(value, greatest[index]);
            }
        }
        return value;
    }
}
