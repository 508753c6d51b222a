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

    private static final String MOVE = RolloutFixture.moveIdentity();

    private final RolloutFixture fixture = new RolloutFixture();
    private final Blackboard blackboard = new Blackboard();
    private final FakeMoveRegistry registry = new FakeMoveRegistry();
    private final RolloutSynchronizer synchronizer =
            RolloutSynchronizer.of("node-1", blackboard, registry, fixture.clock, new SplittableRandom(1));

    @Test
    void writesRollbackOnlyAsSealed() {
        synchronizer.enqueueWrite(progress(Stage.TAKEN_BACK, 0));
        synchronizer.runOnce();

        assertEquals(Stage.SEALED_TAKEN_BACK, registry.stored.get(MOVE).stage());
        assertEquals(Stage.SEALED_TAKEN_BACK, stage());
    }

    @Test
    void rollbackReplacesUnwrittenSealOfDone() {
        synchronizer.enqueueWrite(progress(Stage.SEALED_DONE, 1_000_000));
        synchronizer.enqueueWrite(progress(Stage.TAKEN_BACK, 0));
        synchronizer.enqueueWrite(progress(Stage.SEALED_DONE, 1_000_000));
        synchronizer.runOnce();

        assertEquals(Stage.SEALED_TAKEN_BACK, registry.stored.get(MOVE).stage());
    }

    @Test
    void doesNotSealAsDoneAfterConcurrentRollback() {
        synchronizer.enqueueWrite(progress(Stage.SEALED_DONE, 1_000_000));
        RolloutProgress rolledBack = progress(Stage.TAKEN_BACK, 0);
        blackboard.merge(Entry.of(MOVE, "node-2", rolledBack.entryVersion(), rolledBack));
        synchronizer.runOnce();

        assertTrue(registry.stored.isEmpty());
    }

    @Test
    void mergesOutcomeSealedByAnotherNode() {
        registry.stored.put(MOVE, progress(Stage.SEALED_DONE, 1_000_000));
        synchronizer.enqueueWrite(progress(Stage.TAKEN_BACK, 0));
        synchronizer.runOnce();

        assertEquals(Stage.SEALED_DONE, stage());
    }

    @Test
    void readsRequestedMovesPeriodically() {
        synchronizer.startReading(MOVE);
        assertFalse(synchronizer.hasMergedStoreState(MOVE));
        synchronizer.runOnce();
        assertTrue(synchronizer.hasMergedStoreState(MOVE));
        registry.stored.put(MOVE, progress(Stage.SHIFTING, 50_000));
        fixture.clock.advance(5_000);
        synchronizer.runOnce();

        assertEquals(Stage.SHIFTING, stage());
    }

    @Test
    void retriesUnavailableStoreWithGrowingDelay() {
        registry.unavailable = true;
        synchronizer.enqueueWrite(progress(Stage.SHIFTING, 50_000));
        for (int round = 0; round < 600; round++) {
            fixture.clock.advance(100);
            synchronizer.runOnce();
        }

        assertTrue(registry.callCount >= 3 && registry.callCount < 30, "store calls in 60 s: " + registry.callCount);
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
