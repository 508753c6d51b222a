package org.sequoiashunt.rollout;

import java.util.Optional;
import java.util.SplittableRandom;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.call.CallResult;

/** One node's rollout parts on a blackboard of its own, for tests. */
final class RolloutNode {

    final String name;
    final Blackboard blackboard = new Blackboard();
    final RolloutSynchronizer sealer;
    final EvidenceCollector ledger;
    final ServingMembers serving;
    final RolloutController controller;
    AnalysisResult judgement = AnalysisResult.SOUND;

    RolloutNode(
            final RolloutFixture fixture,
            final String name,
            final String failureDomain,
            final MoveRegistry register,
            final long incarnation) {
        this.name = name;
        this.serving = ServingMembers.of(blackboard, fixture.clock);
        this.sealer = RolloutSynchronizer.of(name, blackboard, register, fixture.clock, new SplittableRandom(1));
        this.ledger = EvidenceCollector.of(name, incarnation, blackboard, fixture.clock);
        this.controller = RolloutController.of(
                name, failureDomain, blackboard, serving, sealer, () -> block -> judgement, fixture.clock);
    }

    void tick() {
        ledger.tick();
        controller.tick();
        sealer.runOnce();
    }

    void call(final String targetVersion, final int status) {
        CallResult result = CallResult.complete(new CallResponse(status, java.util.List.of(), Body.EMPTY));
        ledger.record(RolloutFixture.SERVICE, targetVersion, RolloutFixture.ROUTE, result, 5);
    }

    Optional<RolloutProgress> progress() {
        return progress(RolloutFixture.move());
    }

    Optional<RolloutProgress> progress(final String move) {
        return blackboard.value(Section.ROLLOUT, move, RolloutProgress.class);
    }

    Stage stage() {
        return progress().orElseThrow().stage();
    }

    int share() {
        return progress().map(RolloutProgress::shareParts).orElse(0);
    }
}
