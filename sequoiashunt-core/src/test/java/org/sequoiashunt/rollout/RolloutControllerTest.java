package org.sequoiashunt.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.configuration.Move;

class RolloutControllerTest {

    private static final AnalysisResult FAULTY =
            new AnalysisResult(AnalysisResult.Finding.FAULTY, "route reserve failed 31 of 120");

    private final RolloutFixture fixture = new RolloutFixture();
    private final FakeMoveRegistry registry = new FakeMoveRegistry();
    private final long finishByMs = RolloutFixture.START_MS + RolloutFixture.MOVE_DURATION_MS;
    private final RolloutNode node = new RolloutNode(fixture, "node-1", "ha-noi-a", registry, 1);

    @BeforeEach
    void publishConfigurationAndMember() {
        fixture.commit(node.blackboard, 1, RolloutFixture.configuration(finishByMs));
        fixture.publishServingMember(
                node.blackboard, "node-1", "ha-noi-a", RolloutFixture.OLD_VERSION, RolloutFixture.NEW_VERSION);
    }

    @Test
    void completesBeforeDeadlineWithStore() {
        runUntil(finishByMs);

        assertEquals(Stage.SEALED_DONE, node.stage());
        assertEquals(
                Stage.SEALED_DONE,
                registry.stored.get(RolloutFixture.moveIdentity()).stage());
    }

    @Test
    void takesEveryStepAndHoldsEachForItsMinimum() {
        List<Integer> shares = new ArrayList<>();
        List<Long> times = new ArrayList<>();
        while (fixture.clock.nowMs() < finishByMs) {
            step();
            if (shares.isEmpty() || shares.get(shares.size() - 1) != node.shareParts()) {
                shares.add(node.shareParts());
                times.add(fixture.clock.nowMs());
            }
        }
        shares.remove(Integer.valueOf(0));

        assertEquals(List.of(8_000, 50_000, 250_000, 500_000, 900_000, 980_000, 1_000_000), shares);
        for (int index = 2; index < times.size(); index++) {
            assertTrue(times.get(index) - times.get(index - 1) >= RolloutStep.INITIAL.minimumHoldMs());
        }
    }

    @Test
    void reachesFullShareWithoutStoreAndSealsWhenStoreReturns() {
        registry.unavailable = true;
        runUntil(finishByMs);
        assertEquals(Stage.WATCHING, node.stage());
        assertEquals(RolloutProgress.WHOLE_SHARE_PARTS, node.shareParts());

        registry.unavailable = false;
        runUntil(finishByMs + 15_000);

        assertEquals(Stage.SEALED_DONE, node.stage());
    }

    @Test
    void sealsRollbackWithReason() {
        runUntil(RolloutFixture.START_MS + 5_000);
        node.analysisResult = FAULTY;
        runUntil(RolloutFixture.START_MS + 8_000);

        assertEquals(Stage.SEALED_TAKEN_BACK, node.stage());
        assertTrue(node.progress().orElseThrow().reason().startsWith("taken back at 0.8 %: route reserve failed"));
    }

    @Test
    void rollsBackWhileWatching() {
        while (node.progress().isEmpty() || node.stage() != Stage.WATCHING) {
            step();
        }
        node.analysisResult = FAULTY;
        runUntil(fixture.clock.nowMs() + 3_000);

        assertEquals(Stage.SEALED_TAKEN_BACK, node.stage());
    }

    @Test
    void rollsBackIfStillSuspectedAtDeadline() {
        node.analysisResult = new AnalysisResult(AnalysisResult.Finding.SUSPECTED, "route reserve failed 3 of 12");
        runUntil(finishByMs);

        assertEquals(Stage.SEALED_TAKEN_BACK, node.stage());
    }

    @Test
    void waitsForTargetOfNewVersion() {
        fixture.publishServingMember(node.blackboard, "node-1", "ha-noi-a", RolloutFixture.OLD_VERSION);
        runUntil(RolloutFixture.START_MS + 60_000);
        assertEquals(0, node.shareParts());
        assertTrue(node.progress().orElseThrow().reason().startsWith("waiting: no target of 2026.12"));

        fixture.publishServingMember(
                node.blackboard, "node-1", "ha-noi-a", RolloutFixture.OLD_VERSION, RolloutFixture.NEW_VERSION);
        runUntil(finishByMs);

        assertEquals(Stage.SEALED_DONE, node.stage());
    }

    @Test
    void reportsLateMoveAndHoldsEachStepForItsMinimum() {
        long startMs = finishByMs + 1_000;
        fixture.clock.advance(startMs - fixture.clock.nowMs());
        runUntil(startMs + RolloutStep.INITIAL.minimumHoldMs() - 1_000);
        assertEquals(RolloutStep.INITIAL.shareParts(), node.shareParts());
        assertTrue(node.progress().orElseThrow().reason().contains("late: finishBy has passed"));

        runUntil(startMs + RolloutStep.INITIAL.minimumRemainingMs() + 5_000);

        assertEquals(Stage.SEALED_DONE, node.stage());
    }

    @Test
    void commitWithSameMoveContinuesMove() {
        runUntil(RolloutFixture.START_MS + 100_000);
        int share = node.shareParts();
        fixture.commit(node.blackboard, 2, RolloutFixture.configuration(finishByMs));
        step();

        assertEquals(share, node.shareParts());
        assertTrue(share > RolloutStep.INITIAL.shareParts());
    }

    @Test
    void commitWithoutMoveStopsMove() {
        runUntil(RolloutFixture.START_MS + 5_000);
        fixture.commit(node.blackboard, 2, RolloutFixture.configuration(Optional.empty()));
        runUntil(finishByMs);

        assertEquals(RolloutStep.INITIAL.shareParts(), node.shareParts());
    }

    @Test
    void recommittedMoveStaysRolledBackAndNewDeadlineMakesNewMove() {
        runUntil(RolloutFixture.START_MS + 5_000);
        node.analysisResult = FAULTY;
        runUntil(RolloutFixture.START_MS + 8_000);
        node.analysisResult = AnalysisResult.HEALTHY;
        fixture.commit(node.blackboard, 2, RolloutFixture.configuration(finishByMs));
        runUntil(finishByMs);
        assertEquals(Stage.SEALED_TAKEN_BACK, node.stage());

        Move again = new Move(
                RolloutFixture.OLD_VERSION, RolloutFixture.NEW_VERSION, finishByMs + RolloutFixture.MOVE_DURATION_MS);
        fixture.commit(node.blackboard, 3, RolloutFixture.configuration(Optional.of(again)));
        runUntil(again.finishByMs());

        String identity = again.identity(RolloutFixture.SERVICE);
        assertEquals(Stage.SEALED_DONE, node.progress(identity).orElseThrow().stage());
    }

    @Test
    void readsSealedOutcomeFromStoreBeforeStart() {
        RolloutProgress sealed = new RolloutProgress(
                RolloutFixture.moveIdentity(), RolloutFixture.SERVICE, Stage.SEALED_TAKEN_BACK, 0, "taken back");
        registry.stored.put(RolloutFixture.moveIdentity(), sealed);
        while (fixture.clock.nowMs() < RolloutFixture.START_MS + 20_000) {
            step();
            assertEquals(0, node.shareParts());
        }

        assertEquals(sealed, node.progress().orElseThrow());
    }

    @Test
    void targetsLostWhileNodeServesRollBack() {
        runUntil(RolloutFixture.START_MS + 5_000);
        fixture.publishServingMember(node.blackboard, "node-1", "ha-noi-a", RolloutFixture.OLD_VERSION);
        runUntil(RolloutFixture.START_MS + 10_000);

        assertEquals(Stage.SEALED_TAKEN_BACK, node.stage());
        assertTrue(node.progress().orElseThrow().reason().contains("all targets of 2026.12 are gone"));
    }

    @Test
    void targetsLostWithTheirNodeDoNotRollBack() {
        fixture.publishServingMember(node.blackboard, "node-1", "ha-noi-a", RolloutFixture.OLD_VERSION);
        fixture.publishServingMember(node.blackboard, "node-2", "ha-noi-b", RolloutFixture.NEW_VERSION);
        runUntil(RolloutFixture.START_MS + 5_000);
        fixture.publishLeftMember(node.blackboard, "node-2", "ha-noi-b");
        runUntil(RolloutFixture.START_MS + 15_000);

        assertEquals(Stage.SHIFTING, node.stage());
    }

    private void runUntil(final long untilMs) {
        while (fixture.clock.nowMs() < untilMs) {
            step();
        }
    }

    private void step() {
        fixture.clock.advance(250);
        node.tick();
    }
}
