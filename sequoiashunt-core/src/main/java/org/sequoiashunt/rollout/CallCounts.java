package org.sequoiashunt.rollout;

import java.util.Arrays;
import java.util.List;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Reason;

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

    /**
     * Counts a call. Of calls that find a cold target the latency is left out; those that ran into their deadline are
     * left out whole.
     *
     * @param result how the call ended, not null.
     * @param latencyMs its latency in milliseconds, zero or more.
     * @param cold whether the target was cold.
     */
    synchronized void add(final CallResult result, final long latencyMs, final boolean cold) {
        CallClassification verdict = CallClassification.of(result);
        if (verdict == CallClassification.IGNORED) {
            return;
        }
        if (cold && result.reason() == Reason.DEADLINE) {
            return;
        }
        requests++;
        failures += verdict == CallClassification.FAILURE ? 1 : 0;
        buckets[bucketOf(latencyMs)] += cold ? 0 : 1;
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
