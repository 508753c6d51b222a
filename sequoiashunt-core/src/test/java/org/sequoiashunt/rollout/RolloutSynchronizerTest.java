package org.sequoiashunt.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.Section;

class RolloutSynchronizerTest {

    private static final String MOVE = RolloutFixture.move();

    private final RolloutFixture fixture = new RolloutFixture();
    private final Blackboard blackboard = new Blackboard();
    private final FakeMoveRegistry register = new FakeMoveRegistry();
    private final RolloutSynchronizer sealer =
            RolloutSynchronizer.of("node-1", blackboard, register, fixture.clock, new SplittableRandom(1));

    @Test
    void writesATakeBackOnlyAsSealed() {
        sealer.offer(progress(Stage.TAKEN_BACK, 0));
        sealer.runOnce();

        assertEquals(Stage.SEALED_TAKEN_BACK, register.held.get(MOVE).stage());
        assertEquals(Stage.SEALED_TAKEN_BACK, stage());
    }

    @Test
    void takeBackReplacesASealThatIsNotWrittenYet() {
        sealer.offer(progress(Stage.SEALED_DONE, 1_000_000));
        sealer.offer(progress(Stage.TAKEN_BACK, 0));
        sealer.offer(progress(Stage.SEALED_DONE, 1_000_000));
        sealer.runOnce();

        assertEquals(Stage.SEALED_TAKEN_BACK, register.held.get(MOVE).stage());
    }

    @Test
    void doesNotSealAsDoneWhatWasTakenBackMeanwhile() {
        sealer.offer(progress(Stage.SEALED_DONE, 1_000_000));
        RolloutProgress takenBack = progress(Stage.TAKEN_BACK, 0);
        blackboard.merge(Entry.of(MOVE, "node-2", takenBack.entryVersion(), takenBack));
        sealer.runOnce();

        assertTrue(register.held.isEmpty());
    }

    @Test
    void bringsBackTheOutcomeThatAnotherSealed() {
        register.held.put(MOVE, progress(Stage.SEALED_DONE, 1_000_000));
        sealer.offer(progress(Stage.TAKEN_BACK, 0));
        sealer.runOnce();

        assertEquals(Stage.SEALED_DONE, stage());
    }

    @Test
    void readsWhatItFollows() {
        sealer.follow(MOVE);
        assertFalse(sealer.hasAnswered(MOVE));
        sealer.runOnce();
        assertTrue(sealer.hasAnswered(MOVE));
        register.held.put(MOVE, progress(Stage.SHIFTING, 50_000));
        fixture.clock.advance(5_000);
        sealer.runOnce();

        assertEquals(Stage.SHIFTING, stage());
    }

    @Test
    void asksAStoreThatIsDownLessAndLess() {
        register.down = true;
        sealer.offer(progress(Stage.SHIFTING, 50_000));
        for (int round = 0; round < 600; round++) {
            fixture.clock.advance(100);
            sealer.runOnce();
        }

        assertTrue(register.calls >= 3 && register.calls < 30, "calls in a minute: " + register.calls);
    }

    private Stage stage() {
        return blackboard
                .value(Section.ROLLOUT, MOVE, RolloutProgress.class)
                .orElseThrow()
                .stage();
    }

    private static RolloutProgress progress(final Stage stage, final int shareParts) {
        return new RolloutProgress(MOVE, RolloutFixture.SERVICE, stage, shareParts, "");
    }
}
