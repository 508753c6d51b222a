package org.sequoiashunt.rollout;

import java.util.Arrays;
import java.util.List;

/**
 * Running counts of the calls of one target version and route, the mutable side of {@link Evidence}.
 *
 * <p>Thread-safe: guarded by its own monitor, so that calls of different versions and routes do not meet on one lock.
 * Invariant: counts never decrease.
 */
final class CallCounts {

    private final long[] buckets = new long[Evidence.BUCKETS];
    private long requests;
    private long failures;
    private long skipped;

    /**
     * Counts a call, unless it is one of the first, which find a cold target.
     *
     * @param failed whether the call failed.
     * @param latencyMs its latency in milliseconds, zero or more.
     * @param coldCalls how many calls to leave out at the start.
     */
    synchronized void add(final boolean failed, final long latencyMs, final int coldCalls) {
        if (skipped < coldCalls) {
            skipped++;
            return;
        }
        requests++;
        failures += failed ? 1 : 0;
        buckets[bucketOf(latencyMs)]++;
    }

    /**
     * Makes an immutable copy.
     *
     * @return the evidence, never null.
     */
    synchronized Evidence toEvidence(
            final String node, final String service, final String targetVersion, final String route) {
        List<Long> copy = Arrays.stream(buckets).boxed().toList();
        return new Evidence(node, service, targetVersion, route, requests, failures, copy);
    }

    /**
     * Returns the bucket of a latency: the smallest {@code i} with {@code latencyMs <= 2^i}, or the last one.
     *
     * @param latencyMs the latency in milliseconds; a negative one counts as zero.
     * @return the index of the bucket.
     */
    static int bucketOf(final long latencyMs) {
        if (latencyMs <= 1) {
            return 0;
        }
        int bucket = Long.SIZE - Long.numberOfLeadingZeros(latencyMs - 1);
        return Math.min(bucket, Evidence.BUCKETS - 1);
    }
}
