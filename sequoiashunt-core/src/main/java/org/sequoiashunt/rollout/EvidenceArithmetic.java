package org.sequoiashunt.rollout;

import java.util.ArrayList;
import java.util.List;

/** Arithmetic on counts. Stateless and thread-safe. */
final class EvidenceArithmetic {

    private EvidenceArithmetic() {}

    /**
     * Subtracts earlier counts from later ones of the same subject.
     *
     * @param later the later counts, not null.
     * @param earlier the earlier counts, none above the later ones, not null.
     * @return the difference under the later one's names, never below zero.
     */
    static Evidence difference(final Evidence later, final Evidence earlier) {
        List<Long> buckets = new ArrayList<>();
        for (int index = 0; index < Evidence.BUCKETS; index++) {
            buckets.add(positive(
                    later.latencyBuckets().get(index) - earlier.latencyBuckets().get(index)));
        }
        return new Evidence(
                later.node(),
                later.service(),
                later.targetVersion(),
                later.route(),
                positive(later.requests() - earlier.requests()),
                positive(later.failures() - earlier.failures()),
                buckets);
    }

    private static long positive(final long number) {
        return Math.max(0, number);
    }
}
