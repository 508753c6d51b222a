package org.sequoiashunt.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Section;

class RolloutControllerTest {

    private final RolloutFixture fixture = new RolloutFixture();
    private final Blackboard blackboard = new Blackboard();
    private final FakeMoveRegister register = new FakeMoveRegister();
    private final long finishByMs = RolloutFixture.START_MS + RolloutFixture.WINDOW_MS;
    private Judgement judgement = Judgement.SOUND;
    private RolloutSealer sealer;
    private RolloutController controller;

    @BeforeEach
    void start() {
        fixture.commit(blackboard, 1, RolloutFixture.configuration(finishByMs));
        fixture.join(blackboard, "node-1", "ha-noi-a", RolloutFixture.FROM, RolloutFixture.TO);
        sealer = RolloutSealer.of("node-1", blackboard, register, fixture.clock, new SplittableRandom(1));
        ServingMembers serving = ServingMembers.of(blackboard, fixture.clock);
        controller = RolloutController.of(
                "node-1", "ha-noi-a", blackboard, serving, sealer, () -> block -> judgement, fixture.clock);
    }

    @Test
    void finishesInTimeWithStore() {
        runUntil(finishByMs);

        assertEquals(Stage.SEALED_DONE, progress().orElseThrow().stage());
        assertEquals(Stage.SEALED_DONE, register.held.get(RolloutFixture.move()).stage());
    }

    @Test
    void reachesWholeShareInTimeWithoutStore() {
        register.down = true;

        runUntil(finishByMs);

        assertEquals(Stage.WATCHING, progress().orElseThrow().stage());
        assertEquals(RolloutProgress.WHOLE_SHARE_PARTS, progress().orElseThrow().shareParts());
    }

    @Test
    void sealsTakeBack() {
        runUntil(RolloutFixture.START_MS + 10_000);
        judgement = new Judgement(Judgement.Finding.FAULTY, "route reserve failed 31 of 120 requests on 2026.12");
        runUntil(RolloutFixture.START_MS + 13_000);

        assertEquals(Stage.SEALED_TAKEN_BACK, progress().orElseThrow().stage());
        assertTrue(progress().orElseThrow().reason().startsWith("taken back at 0.8 %: route reserve failed"));
    }

    private Optional<RolloutProgress> progress() {
        return blackboard.value(Section.ROLLOUT, RolloutFixture.move(), RolloutProgress.class);
    }

    private void runUntil(final long untilMs) {
        while (fixture.clock.nowMs() < untilMs) {
            fixture.clock.advance(250);
            controller.tick();
            sealer.runOnce();
        }
    }
}
