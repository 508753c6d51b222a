package org.sequoiashunt.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.call.CallResult;

class LocalFaultDetectorTest {

    private final RolloutFixture fixture = new RolloutFixture();
    private final Blackboard blackboard = new Blackboard();
    private final LocallyStoppedMoves stoppedMoves = new LocallyStoppedMoves();
    private final LocalFaultDetector detector =
            LocalFaultDetector.of("entry-1", blackboard, stoppedMoves, fixture.clock);

    @BeforeEach
    void publishConfigurationAndProgress() {
        fixture.commit(
                blackboard, 1, RolloutFixture.configuration(RolloutFixture.START_MS + RolloutFixture.MOVE_DURATION_MS));
        RolloutProgress progress =
                new RolloutProgress(RolloutFixture.moveIdentity(), RolloutFixture.SERVICE, Stage.SHIFTING, 50_000, "");
        blackboard.merge(Entry.of(progress.move(), "node-1", progress.entryVersion(), progress));
        detector.tick();
    }

    @Test
    void clearFaultStopsMoveAndRollsItBack() {
        sendCalls(2, 500, 500);

        assertTrue(stoppedMoves.isStopped(RolloutFixture.moveIdentity()));
        assertEquals(Stage.TAKEN_BACK, progress().stage());
        assertTrue(
                progress().reason().contains("seen by entry-1 alone"),
                progress().reason());
    }

    @Test
    void healthyVersionIsNotRolledBack() {
        sendCalls(200, 200, 200);

        assertFalse(stoppedMoves.isStopped(RolloutFixture.moveIdentity()));
        assertEquals(Stage.SHIFTING, progress().stage());
    }

    @Test
    void failuresOnOneNodeDoNotRollBack() {
        sendCalls(200, 500, 200);

        assertEquals(Stage.SHIFTING, progress().stage());
    }

    private void sendCalls(final int seconds, final int firstStatus, final int secondStatus) {
        for (int step = 0; step < 4 * seconds; step++) {
            record("node-1", RolloutFixture.NEW_VERSION, firstStatus);
            record("node-2", RolloutFixture.NEW_VERSION, secondStatus);
            for (int call = 0; call < 40; call++) {
                record("node-1", RolloutFixture.OLD_VERSION, 200);
            }
            fixture.clock.advance(250);
            detector.tick();
        }
    }

    private void record(final String gateNode, final String targetVersion, final int status) {
        CallResult result = CallResult.complete(new CallResponse(status, List.of(), Body.EMPTY));
        detector.record(gateNode, RolloutFixture.SERVICE, targetVersion, RolloutFixture.ROUTE, result, 5);
    }

    private RolloutProgress progress() {
        return blackboard
                .value(Section.ROLLOUT, RolloutFixture.moveIdentity(), RolloutProgress.class)
                .orElseThrow();
    }
}
