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

    private static final int COLD_CALLS = 10;

    private final long[] buckets = new long[Evidence.BUCKETS];
    private long requests;
    private long failures;
    private long calls;

    /**
     * Counts a call. The latency of the first calls is left out, since they find a cold target; so are first calls that
     * ran into their deadline.
     *
     * @param result how the call ended, not null.
     * @param latencyMs its latency in milliseconds, zero or more.
     */
    synchronized void add(final CallResult result, final long latencyMs) {
        CallVerdict verdict = CallVerdict.of(result);
        if (verdict == CallVerdict.IGNORED) {
            return;
        }
        boolean cold = calls < COLD_CALLS;
        calls++;
        if (cold && result.reason() == Reason.DEADLINE) {
            return;
        }
        requests++;
        failures += verdict == CallVerdict.FAILURE ? 1 : 0;
        buckets[bucketOf(latencyMs)] += cold ? 0 : 1;
    }

    /** Makes the next calls count as first ones, because the target was started anew. */
    synchronized void restartCold() {
        calls = 0;
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
