package org.sequoiashunt.trial.rollout;

import org.sequoiashunt.rollout.AnalysisResult;
import org.sequoiashunt.rollout.RolloutController;
import org.sequoiashunt.rollout.SequentialAnalyzer;
import org.sequoiashunt.rollout.VersionAnalyzer;

/** Policies that are compared. Immutable and thread-safe. */
enum TrialPolicy {
    /** Goes through the steps by time and never judges. */
    FIXED_SCHEDULE(false, () -> block -> AnalysisResult.HEALTHY),
    /** Takes back when the last seconds pass a plain bound. */
    SIMPLE_THRESHOLDS(false, ThresholdAnalyzer::new),
    /** The product's judge and local detectors. */
    SEQUENTIAL_TEST(true, () -> SequentialAnalyzer.of(RolloutController.ERROR_RATE));

    private final boolean local;
    private final VersionAnalyzer.Factory judges;

    TrialPolicy(final boolean local, final VersionAnalyzer.Factory judges) {
        this.local = local;
        this.judges = judges;
    }

    /**
     * Tells whether entries judge by their own calls.
     *
     * @return true with local fault detectors.
     */
    boolean isLocal() {
        return local;
    }

    /**
     * Returns what creates the judges.
     *
     * @return the factory, never null.
     */
    VersionAnalyzer.Factory judges() {
        return judges;
    }
}
