package org.sequoiashunt.rollout;

import java.util.Optional;
import java.util.SplittableRandom;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.call.CallResult;

/** Rollout components of one node with a separate blackboard, for tests. */
final class RolloutNode {

    final String name;
    final Blackboard blackboard = new Blackboard();
    final RolloutSynchronizer synchronizer;
    final EvidenceCollector collector;
    final ServingMembers servingMembers;
    final RolloutController controller;
    AnalysisResult analysisResult = AnalysisResult.HEALTHY;

    RolloutNode(
            final RolloutFixture fixture,
            final String name,
            final String failureDomain,
            final MoveRegistry registry,
            final long incarnation) {
        this.name = name;
        this.servingMembers = ServingMembers.of(blackboard, fixture.clock);
        this.synchronizer = RolloutSynchronizer.of(name, blackboard, registry, fixture.clock, new SplittableRandom(1));
        this.collector = EvidenceCollector.of(name, incarnation, blackboard, fixture.clock);
        this.controller = RolloutController.of(
                name,
                failureDomain,
                blackboard,
                servingMembers,
                synchronizer,
                () -> block -> analysisResult,
                fixture.clock);
    }

    void tick() {
        collector.tick();
        controller.tick();
        synchronizer.runOnce();
    }

    void recordCall(final String targetVersion, final int status) {
        CallResult result = CallResult.complete(new CallResponse(status, java.util.List.of(), Body.EMPTY));
        collector.record(RolloutFixture.SERVICE, targetVersion, RolloutFixture.ROUTE, result, 5);
    }

    Optional<RolloutProgress> progress() {
        return progress(RolloutFixture.moveIdentity());
    }

    Optional<RolloutProgress> progress(final String move) {
        return blackboard.value(Section.ROLLOUT, move, RolloutProgress.class);
    }

    Stage stage() {
        return progress().orElseThrow().stage();
    }

    int shareParts() {
        return progress().map(RolloutProgress::shareParts).orElse(0);
    }
}
