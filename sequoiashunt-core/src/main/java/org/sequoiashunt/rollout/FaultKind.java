package org.sequoiashunt.rollout;

/**
 * Ways in which a new version can be worse than the old version.
 *
 * <p>Latency is compared at two thresholds: calls slower than the old version's median reveal a slow-down of all
 * calls, and calls slower than its tail reveal a slow-down of some. Immutable and thread-safe.
 */
enum FaultKind {
    /** More calls fail. */
    FAILURE(0.002, 1) {
        @Override
        PairedCounts count(final VersionCounts counts, final double[] oldLatencies) {
            return counts.failures();
        }

        @Override
        String describe(final PairedCounts counts, final String newVersion, final String oldVersion) {
            return "failed " + counts.newEvents() + " of " + counts.newTrials() + " requests on " + newVersion + ", "
                    + counts.oldEvents() + " of " + counts.oldTrials() + " on " + oldVersion;
        }
    },
    /** More calls take longer than the old version's median. */
    SLOW_MEDIAN(0.1, 0.5),
    /** More calls take longer than at least 95 % of the old version's calls. */
    SLOW_TAIL(0.05, 0.05);

    private final double tolerance;
    private final double slowFraction;

    FaultKind(final double tolerance, final double slowFraction) {
        this.tolerance = tolerance;
        this.slowFraction = slowFraction;
    }

    /**
     * Returns by how much the event rate of a healthy new version may exceed that of the old version.
     *
     * @return the tolerance as a difference of rates, above 0 and below 1.
     */
    double tolerance() {
        return tolerance;
    }

    /**
     * Counts the events of this kind.
     *
     * @param counts the counts of a block, not null.
     * @param oldLatencies calls of the old version per latency bucket in earlier blocks, which define the slow
     *     threshold.
     * @return the counts, never null.
     */
    PairedCounts count(final VersionCounts counts, final double[] oldLatencies) {
        return counts.slowerThan(slowThresholdBucket(oldLatencies));
    }

    /**
     * Describes the evidence for operators.
     *
     * @return part of a sentence.
     */
    String describe(final PairedCounts counts, final String newVersion, final String oldVersion) {
        return "was slower than usual for " + counts.newEvents() + " of " + counts.newTrials() + " requests on "
                + newVersion + ", " + counts.oldEvents() + " of " + counts.oldTrials() + " on " + oldVersion;
    }

    private int slowThresholdBucket(final double[] oldLatencies) {
        double total = 0;
        for (double calls : oldLatencies) {
            total += calls;
        }
        double callsAbove = total;
        for (int bucket = 0; bucket < oldLatencies.length; bucket++) {
            callsAbove -= oldLatencies[bucket];
            if (callsAbove <= slowFraction * total) {
                return bucket;
            }
        }
        return oldLatencies.length - 1;
    }
}
