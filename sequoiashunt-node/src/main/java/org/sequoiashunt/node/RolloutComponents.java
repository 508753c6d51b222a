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
 * Holds the components that control rollouts on one node. Immutable and thread-safe, as its components are.
 *
 * @param collector counts the results of calls at the gate of this node.
 * @param detector detects faulty versions from the results of the calls that this node sends.
 * @param controller shifts traffic between the versions of a move.
 * @param synchronizer writes the outcomes of moves to the store.
 * @param shares returns the share of traffic of each version.
 */
record RolloutComponents(
        EvidenceCollector collector,
        LocalFaultDetector detector,
        RolloutController controller,
        RolloutSynchronizer synchronizer,
        VersionShares shares) {

    private static final long SYNCHRONIZATION_PAUSE_MS = 200;

    static RolloutComponents of(
            final NodeSettings settings,
            final ReplicaNode replica,
            final MoveRegistry registry,
            final Clock clock,
            final RandomGenerator random) {
        String node = settings.node();
        LocallyStoppedMoves locallyStoppedMoves = new LocallyStoppedMoves();
        ServingMembers servingMembers =
                ServingMembers.of(() -> replica.membership().view(), clock);
        RolloutSynchronizer synchronizer = RolloutSynchronizer.of(node, replica.blackboard(), registry, clock, random);
        RolloutController controller = RolloutController.of(
                node,
                settings.failureDomain(),
                replica.blackboard(),
                servingMembers,
                synchronizer,
                () -> SequentialAnalyzer.of(RolloutController.ERROR_RATE),
                clock);
        return new RolloutComponents(
                EvidenceCollector.of(node, clock.nowMs(), replica.blackboard(), clock),
                LocalFaultDetector.of(node, replica.blackboard(), locallyStoppedMoves, clock),
                controller,
                synchronizer,
                VersionShares.of(replica.blackboard(), servingMembers, locallyStoppedMoves));
    }

    BlockingTask synchronizationTask() {
        return () -> {
            synchronizer.runOnce();
            return SYNCHRONIZATION_PAUSE_MS;
        };
    }
}
