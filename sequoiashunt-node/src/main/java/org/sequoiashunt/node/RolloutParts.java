package org.sequoiashunt.node;

import java.util.random.RandomGenerator;
import org.sequoiashunt.blackboard.BlockingTask;
import org.sequoiashunt.lead.ReplicaNode;
import org.sequoiashunt.rollout.EvidenceLedger;
import org.sequoiashunt.rollout.LocalFaultDetector;
import org.sequoiashunt.rollout.LocalStops;
import org.sequoiashunt.rollout.MoveRegistry;
import org.sequoiashunt.rollout.RolloutController;
import org.sequoiashunt.rollout.RolloutSealer;
import org.sequoiashunt.rollout.SequentialJudge;
import org.sequoiashunt.rollout.ServingMembers;
import org.sequoiashunt.rollout.VersionShares;
import org.sequoiashunt.time.Clock;

/**
 * Rollouts on one node: counting, judging, sharing and sealing. Immutable and thread-safe, as its parts are.
 *
 * @param ledger counts calls at the gate.
 * @param detector judges the calls that this node sends.
 * @param controller moves traffic.
 * @param sealer writes outcomes to the store.
 * @param shares tells the share of each version.
 */
record RolloutParts(
        EvidenceLedger ledger,
        LocalFaultDetector detector,
        RolloutController controller,
        RolloutSealer sealer,
        VersionShares shares) {

    private static final long SEAL_PAUSE_MS = 200;

    static RolloutParts of(
            final NodeSettings settings,
            final ReplicaNode replica,
            final MoveRegistry register,
            final Clock clock,
            final RandomGenerator random) {
        String node = settings.node();
        LocalStops stops = new LocalStops();
        ServingMembers serving = ServingMembers.of(() -> replica.membership().view(), clock);
        RolloutSealer sealer = RolloutSealer.of(node, replica.blackboard(), register, clock, random);
        RolloutController controller = RolloutController.of(
                node,
                settings.failureDomain(),
                replica.blackboard(),
                serving,
                sealer,
                () -> SequentialJudge.of(RolloutController.ERROR_RATE),
                clock);
        return new RolloutParts(
                EvidenceLedger.of(node, clock.nowMs(), replica.blackboard(), clock),
                LocalFaultDetector.of(node, replica.blackboard(), stops, clock),
                controller,
                sealer,
                VersionShares.of(replica.blackboard(), serving, stops));
    }

    BlockingTask sealing() {
        return () -> {
            sealer.runOnce();
            return SEAL_PAUSE_MS;
        };
    }
}
