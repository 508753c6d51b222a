package org.sequoiashunt.trial.rollout;

import org.sequoiashunt.rollout.Judgement;
import org.sequoiashunt.rollout.RolloutController;
import org.sequoiashunt.rollout.SequentialJudge;
import org.sequoiashunt.rollout.VersionJudge;

/** Policies that are compared. Immutable and thread-safe. */
enum TrialPolicy {
    /** Goes through the steps by time and never judges. */
    FIXED_SCHEDULE(false, () -> block -> Judgement.SOUND),
    /** Takes back when the last seconds pass a plain bound. */
    SIMPLE_THRESHOLDS(false, ThresholdJudge::new),
    /** The product's judge and local detectors. */
    SEQUENTIAL_TEST(true, () -> SequentialJudge.of(RolloutController.ERROR_RATE));

    private final boolean local;
    private final VersionJudge.Factory judges;

    TrialPolicy(final boolean local, final VersionJudge.Factory judges) {
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
    VersionJudge.Factory judges() {
        return judges;
    }
}
