package org.sequoiashunt.node;

import java.util.random.RandomGenerator;
import org.sequoiashunt.blackboard.BlockingTask;
import org.sequoiashunt.lead.ReplicaNode;
import org.sequoiashunt.rollout.EvidenceCollector;
import org.sequoiashunt.rollout.LocalFaultDetector;
import org.sequoiashunt.rollout.LocallyStoppedMoves;
import org.sequoiashunt.rollout.MoveRegistry;
import org.sequoiashunt.rollout.RolloutController;
import org.sequoiashunt.rollout.RolloutSynchronizer;
import org.sequoiashunt.rollout.SequentialAnalyzer;
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
record RolloutComponents(
        EvidenceCollector ledger,
        LocalFaultDetector detector,
        RolloutController controller,
        RolloutSynchronizer sealer,
        VersionShares shares) {

    private static final long SEAL_PAUSE_MS = 200;

    static RolloutComponents of(
            final NodeSettings settings,
            final ReplicaNode replica,
            final MoveRegistry register,
            final Clock clock,
            final RandomGenerator random) {
        String node = settings.node();
        LocallyStoppedMoves stops = new LocallyStoppedMoves();
        ServingMembers serving = ServingMembers.of(() -> replica.membership().view(), clock);
        RolloutSynchronizer sealer = RolloutSynchronizer.of(node, replica.blackboard(), register, clock, random);
        RolloutController controller = RolloutController.of(
                node,
                settings.failureDomain(),
                replica.blackboard(),
                serving,
                sealer,
                () -> SequentialAnalyzer.of(RolloutController.ERROR_RATE),
                clock);
        return new RolloutComponents(
                EvidenceCollector.of(node, clock.nowMs(), replica.blackboard(), clock),
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
