package org.sequoiashunt.trial.rollout;

import java.util.SplittableRandom;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.rollout.EvidenceCollector;
import org.sequoiashunt.rollout.LocalFaultDetector;
import org.sequoiashunt.rollout.LocallyStoppedMoves;
import org.sequoiashunt.rollout.RolloutController;
import org.sequoiashunt.rollout.RolloutSynchronizer;
import org.sequoiashunt.rollout.ServingMembers;
import org.sequoiashunt.rollout.VersionShares;
import org.sequoiashunt.time.SteppedClock;

/**
 * Node in a trial: the product's own rollout parts, on a target's VM. Confined to one thread.
 */
final class TrialNode {

    private final String name;
    private final boolean local;
    private final EvidenceCollector ledger;
    private final LocalFaultDetector detector;
    private final RolloutSynchronizer sealer;
    private final RolloutController controller;
    private final VersionShares shares;

    TrialNode(
            final String name,
            final TrialDomain domain,
            final TrialMoveRegistry register,
            final TrialPolicy policy,
            final SteppedClock clock,
            final SplittableRandom random) {
        Blackboard blackboard = domain.blackboard();
        ServingMembers serving = ServingMembers.of(blackboard, clock);
        LocallyStoppedMoves stops = new LocallyStoppedMoves();
        this.name = name;
        this.local = policy.isLocal();
        this.ledger = EvidenceCollector.of(name, 1, blackboard, clock);
        this.detector = LocalFaultDetector.of(name, blackboard, stops, clock);
        this.sealer = RolloutSynchronizer.of(name, blackboard, register, clock, random);
        this.controller =
                RolloutController.of(name, domain.failureDomain(), blackboard, serving, sealer, policy.judges(), clock);
        this.shares = VersionShares.of(blackboard, serving, stops);
    }

    /** Runs the node's controllers. */
    void tick() {
        ledger.tick();
        if (local) {
            detector.tick();
        }
        controller.tick();
        sealer.runOnce();
    }

    /**
     * Returns the name.
     *
     * @return the name, never null.
     */
    String name() {
        return name;
    }

    /**
     * Returns what counts at the node's gate.
     *
     * @return the ledger, never null.
     */
    EvidenceCollector ledger() {
        return ledger;
    }

    /**
     * Returns what judges the node's own calls.
     *
     * @return the detector, never null.
     */
    LocalFaultDetector detector() {
        return detector;
    }

    /**
     * Returns what chooses versions.
     *
     * @return the shares, never null.
     */
    VersionShares shares() {
        return shares;
    }
}
