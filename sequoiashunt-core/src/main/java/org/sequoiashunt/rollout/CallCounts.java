package org.sequoiashunt.rollout;

import java.util.Arrays;
import java.util.List;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Reason;

/**
 * Counts the finished calls of one target version and route; {@link Evidence} is an immutable snapshot of the counts.
 *
 * <p>Thread-safe: guarded by its own monitor, so that calls of different versions and routes do not contend for one
 * lock. Invariant: counts never decrease.
 */
final class CallCounts {

    private final long[] buckets = new long[Evidence.BUCKETS];
    private long requests;
    private long failures;

    /**
     * Counts a call. The latency of a call to a cold target is not counted; a call to a cold target that exceeded its
     * deadline is not counted at all.
     *
     * @param result how the call ended, not null.
     * @param latencyMs latency of the call in milliseconds, zero or more.
     * @param cold whether the call is one of the first since the target started; see {@link ColdStartDetector}.
     */
    synchronized void add(final CallResult result, final long latencyMs, final boolean cold) {
        CallClassification classification = CallClassification.of(result);
        if (classification == CallClassification.IGNORED) {
            return;
        }
        if (cold && result.reason() == Reason.DEADLINE) {
            return;
        }
        requests++;
        failures += classification == CallClassification.FAILURE ? 1 : 0;
        buckets[bucketOf(latencyMs)] += cold ? 0 : 1;
    }

    /**
     * Returns an immutable copy of the counts.
     *
     * @return the evidence, never null.
     */
    synchronized Evidence toEvidence(
            final String node, final String service, final String targetVersion, final String route) {
        List<Long> copy = Arrays.stream(buckets).boxed().toList();
        return new Evidence(node, service, targetVersion, route, requests, failures, copy);
    }

    /**
     * Returns the bucket of a latency: the smallest index {@code i} with {@code latencyMs <= 2^i}, or the last one.
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
