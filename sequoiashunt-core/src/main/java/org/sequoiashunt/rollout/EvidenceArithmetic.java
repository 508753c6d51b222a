package org.sequoiashunt.rollout;

import java.util.ArrayList;
import java.util.List;

/** Subtracts cumulative call counts, to get the calls of an interval. Stateless and thread-safe. */
final class EvidenceArithmetic {

    private EvidenceArithmetic() {}

    /**
     * Subtracts earlier counts from later counts of the same node, service, target version and route.
     *
     * @param later the later counts, not null.
     * @param earlier the earlier counts, expected not to exceed the later ones, not null.
     * @return the difference, with the names of the later counts; a negative difference counts as zero.
     */
    static Evidence difference(final Evidence later, final Evidence earlier) {
        List<Long> buckets = new ArrayList<>();
        for (int index = 0; index < Evidence.BUCKETS; index++) {
            buckets.add(zeroIfNegative(
                    later.latencyBuckets().get(index) - earlier.latencyBuckets().get(index)));
        }
        return new Evidence(
                later.node(),
                later.service(),
                later.targetVersion(),
                later.route(),
                zeroIfNegative(later.requests() - earlier.requests()),
                zeroIfNegative(later.failures() - earlier.failures()),
                buckets);
    }

    private static long zeroIfNegative(final long number) {
        return Math.max(0, number);
    }
}
