package org.sequoiashunt.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Controllers of several failure domains on one move. */
class RolloutDomainsTest {

    private static final AnalysisResult FAULTY =
            new AnalysisResult(AnalysisResult.Finding.FAULTY, "route reserve failed 31 of 120");

    private final RolloutFixture fixture = new RolloutFixture();
    private final FakeMoveRegistry register = new FakeMoveRegistry();
    private final long finishByMs = RolloutFixture.START_MS + RolloutFixture.WINDOW_MS;
    private final RolloutNode first = new RolloutNode(fixture, "node-1", "ha-noi-a", register, 1);
    private final RolloutNode second = new RolloutNode(fixture, "node-2", "sai-gon-a", register, 1);
    private final RolloutNode third = new RolloutNode(fixture, "node-3", "can-tho-b", register, 1);
    private final List<RolloutNode> all = List.of(first, second, third);

    @BeforeEach
    void start() {
        for (RolloutNode node : all) {
            fixture.commit(node.blackboard, 1, RolloutFixture.configuration(finishByMs));
            fixture.join(node.blackboard, "node-1", "ha-noi-a", RolloutFixture.FROM, RolloutFixture.TO);
            fixture.join(node.blackboard, "node-2", "sai-gon-a", RolloutFixture.FROM, RolloutFixture.TO);
            fixture.join(node.blackboard, "node-3", "can-tho-b", RolloutFixture.FROM, RolloutFixture.TO);
        }
    }

    @Test
    void racingControllersNeverSkipAStepOrGoBack() {
        int last = 0;
        while (fixture.clock.nowMs() < finishByMs) {
            step(all, all);
            int share = first.share();
            assertTrue(share >= last);
            assertTrue(ordinal(share) - ordinal(last) <= 1, "skipped a step: " + last + " to " + share);
            last = share;
        }

        all.forEach(node -> assertEquals(Stage.SEALED_DONE, node.stage()));
    }

    @Test
    void takeBackByOneDomainReachesAll() {
        runUntil(RolloutFixture.START_MS + 5_000, all, all);
        register.down = true;
        second.judgement = FAULTY;
        runUntil(RolloutFixture.START_MS + 7_000, all, all);

        all.forEach(node -> assertEquals(Stage.TAKEN_BACK, node.stage()));
    }

    @Test
    void lostAnswerOfASealEndsInTheSameOutcome() {
        register.answersToLose = 3;
        runUntil(finishByMs, all, all);

        all.forEach(node -> assertEquals(Stage.SEALED_DONE, node.stage()));
    }

    @Test
    void takeBackAndSealRacingEndInOneOutcome() {
        while (first.share() != RolloutProgress.WHOLE_SHARE_PARTS) {
            fixture.clock.advance(250);
            first.controller.tick();
            first.sealer.runOnce();
        }
        RolloutFixture.copy(first.blackboard, second.blackboard);
        second.judgement = FAULTY;
        runApart(4_000, List.of(first, second));
        step(all, all);

        Stage sealed = register.held.get(RolloutFixture.move()).stage();
        assertTrue(sealed.isSealed());
        all.forEach(node -> assertEquals(sealed, node.stage()));
    }

    @Test
    void wokenControllerHoldsTheStepItFinds() {
        runUntil(RolloutFixture.START_MS + 5_000, List.of(first), List.of(first));
        int frozenAt = first.share();
        fixture.clock.advance(100_000);
        first.tick();
        assertEquals(frozenAt, first.share());

        fixture.clock.advance(RolloutStep.SMALL.floorMs() - 500);
        first.tick();

        assertEquals(frozenAt, first.share());
    }

    @Test
    void wokenControllerDoesNotUndoATakeBack() {
        runUntil(RolloutFixture.START_MS + 5_000, all, all);
        second.judgement = FAULTY;
        runUntil(RolloutFixture.START_MS + 20_000, List.of(second, third), List.of(second, third));
        first.tick();
        RolloutFixture.copy(first.blackboard, second.blackboard);
        RolloutFixture.copy(second.blackboard, first.blackboard);
        runUntil(RolloutFixture.START_MS + 40_000, all, all);

        all.forEach(node -> assertEquals(Stage.SEALED_TAKEN_BACK, node.stage()));
    }

    @Test
    void cutOffDomainHoldsItsStepAndCatchesUpWhenHealed() {
        runUntil(RolloutFixture.START_MS + 5_000, all, all);
        register.down = true;
        List<RolloutNode> majority = List.of(first, second);
        while (fixture.clock.nowMs() < RolloutFixture.START_MS + 45_000) {
            step(majority, majority);
            third.tick();
        }
        assertTrue(first.share() > third.share(), "the majority goes on: " + first.share());
        step(all, all);

        assertEquals(first.share(), third.share());
    }

    @Test
    void cutOffDomainTakesBackByItsOwnEvidence() {
        runUntil(RolloutFixture.START_MS + 5_000, all, all);
        register.down = true;
        third.judgement = FAULTY;
        runUntil(RolloutFixture.START_MS + 8_000, List.of(third), List.of());
        assertEquals(Stage.TAKEN_BACK, third.stage());
        assertNotEquals(Stage.TAKEN_BACK, first.stage());
        step(all, all);

        assertEquals(Stage.TAKEN_BACK, first.stage());
    }

    @Test
    void domainsAllCutOffFromEachOtherStillFinishInTime() {
        runUntil(RolloutFixture.START_MS + 5_000, all, all);
        register.down = true;
        while (fixture.clock.nowMs() < finishByMs) {
            runApart(250, all);
        }

        all.forEach(node -> assertEquals(RolloutProgress.WHOLE_SHARE_PARTS, node.share()));
    }

    private static int ordinal(final int share) {
        int ordinal = 0;
        for (RolloutStep step : RolloutStep.values()) {
            ordinal += step.shareParts() <= share ? 1 : 0;
        }
        return ordinal;
    }

    private void runUntil(final long untilMs, final List<RolloutNode> running, final List<RolloutNode> connected) {
        while (fixture.clock.nowMs() < untilMs) {
            step(running, connected);
        }
    }

    private void runApart(final long forMs, final List<RolloutNode> running) {
        long untilMs = fixture.clock.nowMs() + forMs;
        runUntil(untilMs, running, List.of());
    }

    private void step(final List<RolloutNode> running, final List<RolloutNode> connected) {
        fixture.clock.advance(250);
        for (RolloutNode node : running) {
            node.call(RolloutFixture.FROM, 200);
            node.call(RolloutFixture.TO, 200);
            node.tick();
        }
        for (RolloutNode source : connected) {
            connected.forEach(destination -> RolloutFixture.copy(source.blackboard, destination.blackboard));
        }
    }
}
