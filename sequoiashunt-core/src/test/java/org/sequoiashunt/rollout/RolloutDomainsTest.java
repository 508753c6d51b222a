package org.sequoiashunt.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests one move that is executed by the controllers of several failure domains. */
class RolloutDomainsTest {

    private static final AnalysisResult FAULTY =
            new AnalysisResult(AnalysisResult.Finding.FAULTY, "route reserve failed 31 of 120");

    private final RolloutFixture fixture = new RolloutFixture();
    private final FakeMoveRegistry registry = new FakeMoveRegistry();
    private final long finishByMs = RolloutFixture.START_MS + RolloutFixture.MOVE_DURATION_MS;
    private final RolloutNode first = new RolloutNode(fixture, "node-1", "ha-noi-a", registry, 1);
    private final RolloutNode second = new RolloutNode(fixture, "node-2", "sai-gon-a", registry, 1);
    private final RolloutNode third = new RolloutNode(fixture, "node-3", "can-tho-b", registry, 1);
    private final List<RolloutNode> all = List.of(first, second, third);

    @BeforeEach
    void publishConfigurationAndMembers() {
        for (RolloutNode node : all) {
            fixture.commit(node.blackboard, 1, RolloutFixture.configuration(finishByMs));
            fixture.publishServingMember(
                    node.blackboard, "node-1", "ha-noi-a", RolloutFixture.OLD_VERSION, RolloutFixture.NEW_VERSION);
            fixture.publishServingMember(
                    node.blackboard, "node-2", "sai-gon-a", RolloutFixture.OLD_VERSION, RolloutFixture.NEW_VERSION);
            fixture.publishServingMember(
                    node.blackboard, "node-3", "can-tho-b", RolloutFixture.OLD_VERSION, RolloutFixture.NEW_VERSION);
        }
    }

    @Test
    void concurrentControllersNeverSkipStepOrReduceShare() {
        int last = 0;
        while (fixture.clock.nowMs() < finishByMs) {
            step(all, all);
            int share = first.shareParts();
            assertTrue(share >= last);
            assertTrue(stepsReached(share) - stepsReached(last) <= 1, "share skipped a step: " + last + " to " + share);
            last = share;
        }

        all.forEach(node -> assertEquals(Stage.SEALED_DONE, node.stage()));
    }

    @Test
    void rollbackByOneDomainReachesAllDomains() {
        runUntil(RolloutFixture.START_MS + 5_000, all, all);
        registry.unavailable = true;
        second.analysisResult = FAULTY;
        runUntil(RolloutFixture.START_MS + 7_000, all, all);

        all.forEach(node -> assertEquals(Stage.TAKEN_BACK, node.stage()));
    }

    @Test
    void lostSealAnswerLeavesSameOutcome() {
        registry.answersToDrop = 3;
        runUntil(finishByMs, all, all);

        all.forEach(node -> assertEquals(Stage.SEALED_DONE, node.stage()));
    }

    @Test
    void concurrentRollbackAndSealEndInOneOutcome() {
        while (first.shareParts() != RolloutProgress.WHOLE_SHARE_PARTS) {
            fixture.clock.advance(250);
            first.controller.tick();
            first.synchronizer.runOnce();
        }
        RolloutFixture.mergeInto(first.blackboard, second.blackboard);
        second.analysisResult = FAULTY;
        runDisconnected(4_000, List.of(first, second));
        step(all, all);

        Stage sealed = registry.stored.get(RolloutFixture.moveIdentity()).stage();
        assertTrue(sealed.isSealed());
        all.forEach(node -> assertEquals(sealed, node.stage()));
    }

    @Test
    void resumedControllerHoldsCurrentStep() {
        runUntil(RolloutFixture.START_MS + 5_000, List.of(first), List.of(first));
        int shareBeforePause = first.shareParts();
        fixture.clock.advance(100_000);
        first.tick();
        assertEquals(shareBeforePause, first.shareParts());

        fixture.clock.advance(RolloutStep.SMALL.minimumHoldMs() - 500);
        first.tick();

        assertEquals(shareBeforePause, first.shareParts());
    }

    @Test
    void resumedControllerKeepsRollback() {
        runUntil(RolloutFixture.START_MS + 5_000, all, all);
        second.analysisResult = FAULTY;
        runUntil(RolloutFixture.START_MS + 20_000, List.of(second, third), List.of(second, third));
        first.tick();
        RolloutFixture.mergeInto(first.blackboard, second.blackboard);
        RolloutFixture.mergeInto(second.blackboard, first.blackboard);
        runUntil(RolloutFixture.START_MS + 40_000, all, all);

        all.forEach(node -> assertEquals(Stage.SEALED_TAKEN_BACK, node.stage()));
    }

    @Test
    void partitionedDomainHoldsStepAndCatchesUpAfterwards() {
        runUntil(RolloutFixture.START_MS + 5_000, all, all);
        registry.unavailable = true;
        List<RolloutNode> majority = List.of(first, second);
        while (fixture.clock.nowMs() < RolloutFixture.START_MS + 45_000) {
            step(majority, majority);
            third.tick();
        }
        assertTrue(
                first.shareParts() > third.shareParts(),
                "share of the connected domains did not exceed that of the partitioned domain: " + first.shareParts());
        step(all, all);

        assertEquals(first.shareParts(), third.shareParts());
    }

    @Test
    void partitionedDomainRollsBackOnLocalEvidence() {
        runUntil(RolloutFixture.START_MS + 5_000, all, all);
        registry.unavailable = true;
        third.analysisResult = FAULTY;
        runUntil(RolloutFixture.START_MS + 8_000, List.of(third), List.of());
        assertEquals(Stage.TAKEN_BACK, third.stage());
        assertNotEquals(Stage.TAKEN_BACK, first.stage());
        step(all, all);

        assertEquals(Stage.TAKEN_BACK, first.stage());
    }

    @Test
    void mutuallyPartitionedDomainsFinishBeforeDeadline() {
        runUntil(RolloutFixture.START_MS + 5_000, all, all);
        registry.unavailable = true;
        while (fixture.clock.nowMs() < finishByMs) {
            runDisconnected(250, all);
        }

        all.forEach(node -> assertEquals(RolloutProgress.WHOLE_SHARE_PARTS, node.shareParts()));
    }

    private static int stepsReached(final int share) {
        int steps = 0;
        for (RolloutStep step : RolloutStep.values()) {
            steps += step.shareParts() <= share ? 1 : 0;
        }
        return steps;
    }

    private void runUntil(final long untilMs, final List<RolloutNode> running, final List<RolloutNode> connected) {
        while (fixture.clock.nowMs() < untilMs) {
            step(running, connected);
        }
    }

    private void runDisconnected(final long forMs, final List<RolloutNode> running) {
        long untilMs = fixture.clock.nowMs() + forMs;
        runUntil(untilMs, running, List.of());
    }

    private void step(final List<RolloutNode> running, final List<RolloutNode> connected) {
        fixture.clock.advance(250);
        for (RolloutNode node : running) {
            node.recordCall(RolloutFixture.OLD_VERSION, 200);
            node.recordCall(RolloutFixture.NEW_VERSION, 200);
            node.tick();
        }
        for (RolloutNode source : connected) {
            connected.forEach(destination -> RolloutFixture.mergeInto(source.blackboard, destination.blackboard));
        }
    }
}
