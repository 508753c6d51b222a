package org.sequoiashunt.rollout;

/**
 * Ways in which a new version can be worse than the version beside it.
 *
 * <p>Slowness is counted twice: calls above the old version's median, which shows a slow-down of all calls, and calls
 * above its tail. Immutable and thread-safe.
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
    /** More calls take longer than nearly all of the old version's. */
    SLOW_TAIL(0.05, 0.05);

    private final double tolerance;
    private final double usualFraction;

    FaultKind(final double tolerance, final double usualFraction) {
        this.tolerance = tolerance;
        this.usualFraction = usualFraction;
    }

    /**
     * Returns by how much the rate of a sound version may exceed that of the version beside it.
     *
     * @return the tolerance, above 0 and below 1.
     */
    double tolerance() {
        return tolerance;
    }

    /**
     * Counts the events of this kind.
     *
     * @param counts the counts of a block, not null.
     * @param oldLatencies calls per bucket of the old version in earlier blocks.
     * @return the counts, never null.
     */
    PairedCounts count(final VersionCounts counts, final double[] oldLatencies) {
        return counts.slowerThan(usualBucket(oldLatencies));
    }

    /**
     * Writes evidence for operators.
     *
     * @return part of a sentence.
     */
    String describe(final PairedCounts counts, final String newVersion, final String oldVersion) {
        return "was slower than usual for " + counts.newEvents() + " of " + counts.newTrials() + " requests on "
                + newVersion + ", " + counts.oldEvents() + " of " + counts.oldTrials() + " on " + oldVersion;
    }

    private int usualBucket(final double[] oldLatencies) {
        double total = 0;
        for (double calls : oldLatencies) {
            total += calls;
        }
        double above = total;
        for (int bucket = 0; bucket < oldLatencies.length; bucket++) {
            above -= oldLatencies[bucket];
            if (above <= usualFraction * total) {
                return bucket;
            }
        }
        return oldLatencies.length - 1;
    }
}
