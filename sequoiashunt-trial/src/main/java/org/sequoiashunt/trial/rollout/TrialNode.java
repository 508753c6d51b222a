package org.sequoiashunt.trial.rollout;

import java.util.SplittableRandom;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.rollout.EvidenceLedger;
import org.sequoiashunt.rollout.LocalFaultDetector;
import org.sequoiashunt.rollout.LocalStops;
import org.sequoiashunt.rollout.RolloutController;
import org.sequoiashunt.rollout.RolloutSealer;
import org.sequoiashunt.rollout.ServingMembers;
import org.sequoiashunt.rollout.VersionShares;
import org.sequoiashunt.time.SteppedClock;

/**
 * Node in a trial: the product's own rollout parts, on a target's VM. Confined to one thread.
 */
final class TrialNode {

    private final String name;
    private final boolean local;
    private final EvidenceLedger ledger;
    private final LocalFaultDetector detector;
    private final RolloutSealer sealer;
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
        LocalStops stops = new LocalStops();
        this.name = name;
        this.local = policy.isLocal();
        this.ledger = EvidenceLedger.of(name, 1, blackboard, clock);
        this.detector = LocalFaultDetector.of(name, blackboard, stops, clock);
        this.sealer = RolloutSealer.of(name, blackboard, register, clock, random);
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
    EvidenceLedger ledger() {
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
