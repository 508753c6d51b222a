package org.sequoiashunt.node.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.fleet.FleetView;
import org.sequoiashunt.fleet.MoveState;
import org.sequoiashunt.fleet.VersionMove;
import org.sequoiashunt.mesh.MoveTable;
import org.sequoiashunt.move.AnswerCounters;
import org.sequoiashunt.move.MoveRequest;
import org.sequoiashunt.time.SteppedClock;

class MoveControllerTest {

    private static final MoveRequest ORDER = new MoveRequest("desk", "v2", 16_000, 7);

    private final SteppedClock clock = SteppedClock.of(1_000);
    private final MoveTable moveTable = new MoveTable();
    private final AnswerCounters answerCounters = new AnswerCounters();
    private final DecisionLog log =
            DecisionLog.start("n-1", clock, new PrintStream(OutputStream.nullOutputStream(), true));
    private final MoveController controller =
            new MoveController("n-1", new FleetView(clock), moveTable, answerCounters, clock, log, () -> {});

    @AfterEach
    void close() throws InterruptedException {
        log.close();
    }

    private void recordAnswers(final String version, final int count) {
        for (int call = 0; call < count; call++) {
            CallRequest request = new CallRequest(
                    "c",
                    "desk",
                    "lookup",
                    version,
                    "t-" + version,
                    "GET",
                    "/l/1",
                    List.of(),
                    Body.EMPTY,
                    true,
                    Optional.empty(),
                    Long.MAX_VALUE);
            answerCounters.record(request, CallResult.complete(new CallResponse(200, List.of(), Body.EMPTY)), 90);
        }
    }

    private long simulate(final long limitMs) {
        long startMs = clock.nowMs();
        while (clock.nowMs() - startMs < limitMs) {
            recordAnswers("v2", 20);
            recordAnswers("v1", 2);
            controller.tick();
            if (moveTable.find("desk").orElseThrow().state().isTerminal()) {
                break;
            }
            clock.advance(100);
        }
        return clock.nowMs() - startMs;
    }

    @Test
    void moveToHealthyVersionCompletesBeforeItsDuration() {
        controller.acceptOrder(ORDER);
        assertTrue(simulate(ORDER.durationMs()) < ORDER.durationMs());
        assertEquals(MoveState.COMPLETED, moveTable.find("desk").orElseThrow().state());
    }

    /** The node whose name sorts first decides again after a restart, but has lost the start time of the move. */
    @Test
    void newDecisionMakerContinuesFromCurrentShare() {
        moveTable.merge(new VersionMove("desk", "v2", ORDER.orderRevision(), MoveState.RUNNING, 900));
        controller.acceptOrder(ORDER);
        long elapsedMs = simulate(ORDER.durationMs());
        assertEquals(MoveState.COMPLETED, moveTable.find("desk").orElseThrow().state());
        assertTrue(elapsedMs <= ORDER.durationMs() / 4, "took " + elapsedMs + " ms");
    }
}
