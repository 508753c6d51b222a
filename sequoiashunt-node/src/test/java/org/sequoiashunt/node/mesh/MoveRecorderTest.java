package org.sequoiashunt.node.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.fleet.MoveState;
import org.sequoiashunt.fleet.VersionMove;
import org.sequoiashunt.mesh.MoveTable;
import org.sequoiashunt.time.SteppedClock;

class MoveRecorderTest {

    private final SteppedClock clock = SteppedClock.of(1_000);
    private final MoveTable moveTable = new MoveTable(clock);
    private final FakePlatform platform = new FakePlatform();
    private final DecisionLog log =
            DecisionLog.start("n-1", clock, new PrintStream(OutputStream.nullOutputStream(), true));
    private int rank;
    private final MoveRecorder recorder =
            new MoveRecorder(platform, moveTable, () -> rank, new StoreHealth(clock, log), clock);

    @AfterEach
    void close() throws InterruptedException {
        log.close();
    }

    private boolean isRecorded() {
        return moveTable.find("desk").orElseThrow().recorded();
    }

    private void rollBack() {
        moveTable.merge(VersionMove.of("desk", "v2", 7, MoveState.ROLLED_BACK, 0));
    }

    @Test
    void firstNodeRecordsAtOnceAndRetries() {
        rollBack();
        platform.setDown(true);
        recorder.step();
        assertFalse(isRecorded());
        platform.setDown(false);
        recorder.step();
        assertTrue(isRecorded());
    }

    /** Guards against an outcome that the operator never sees, since its node is cut off from the store alone. */
    @Test
    void nextNodeRecordsAnOutcomeThatStaysUnrecorded() {
        rank = 1;
        rollBack();
        recorder.step();
        clock.advance(2_900);
        recorder.step();
        assertFalse(isRecorded());
        clock.advance(200);
        recorder.step();
        assertTrue(isRecorded());
    }

    @Test
    void otherNodesDoNotRecord() {
        rank = 3;
        rollBack();
        recorder.step();
        clock.advance(60_000);
        recorder.step();
        assertFalse(isRecorded());
    }

    @Test
    void orderOfUnknownDurationIsNotRecorded() {
        moveTable.merge(VersionMove.of("desk", "v2", 7, MoveState.RUNNING, 0));
        recorder.step();
        assertFalse(isRecorded());
    }

    /** Guards against an outcome that the operator no longer sees, since the restored store has lost its record. */
    @Test
    void allStatesAreRecordedAgainAfterARestore() {
        rollBack();
        recorder.step();
        recorder.step();
        assertEquals(1, platform.moveRecords());
        platform.restoreWithoutNodes();
        recorder.step();
        recorder.step();
        assertEquals(2, platform.moveRecords());
        clock.advance(4_000);
        recorder.step();
        recorder.step();
        assertEquals(3, platform.moveRecords(), "a node that did not know of the restore may have written over it");
    }
}
