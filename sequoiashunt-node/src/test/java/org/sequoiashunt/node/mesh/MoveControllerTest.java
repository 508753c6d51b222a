package org.sequoiashunt.node.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.fleet.FleetView;
import org.sequoiashunt.fleet.MoveState;
import org.sequoiashunt.fleet.NodeReport;
import org.sequoiashunt.fleet.VersionMove;
import org.sequoiashunt.mesh.MoveTable;
import org.sequoiashunt.move.AnswerCounters;
import org.sequoiashunt.move.MoveRequest;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.store.StoreRevision;
import org.sequoiashunt.time.SteppedClock;

class MoveControllerTest {

    private static final MoveRequest ORDER = new MoveRequest("desk", "v2", 16_000, 7);

    private final SteppedClock clock = SteppedClock.of(1_000);
    private final FleetView fleet = new FleetView(clock);
    private final MoveTable moveTable = new MoveTable(clock);
    private final AnswerCounters answerCounters = new AnswerCounters();
    private final DecisionLog log =
            DecisionLog.start("n-1", clock, new PrintStream(OutputStream.nullOutputStream(), true));
    private final MoveController controller =
            new MoveController("n-1", fleet, moveTable, answerCounters, clock, log, () -> {});

    @AfterEach
    void close() throws InterruptedException {
        log.close();
    }

    private void recordAnswers(final String version, final int count) {
        recordAnswers(version, count, 200);
    }

    private void recordAnswers(final String version, final int count, final int status) {
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
            answerCounters.record(request, CallResult.complete(new CallResponse(status, List.of(), Body.EMPTY)), 90);
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

    private void reportLiveNode(final String node, final long sequence) {
        fleet.accept(new NodeReport(
                node,
                1,
                sequence,
                new NodeAddress("127.0.0.1", 9),
                "d",
                "r",
                600,
                false,
                1,
                OptionalLong.empty(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                false));
    }

    private MoveState stateAfterBadAnswers(final int steps, final String... liveNodes) {
        for (int step = 0; step < steps; step++) {
            for (String liveNode : liveNodes) {
                reportLiveNode(liveNode, clock.nowMs());
            }
            recordAnswers("v2", 10, step % 2 == 0 ? 500 : 200);
            recordAnswers("v1", 20);
            controller.tick();
            clock.advance(100);
        }
        return moveTable.find("desk").orElseThrow().state();
    }

    /** Guards against a rollout that nobody judges: its node is lost and the next one has not read the order. */
    @Test
    void moveOfALostNodeIsCarriedOnFromItsReport() {
        moveTable.merge(VersionMove.of("desk", "v2", ORDER.orderRevision(), MoveState.RUNNING, 300)
                .withDuration(ORDER.durationMs())
                .withElapsed(8_400));
        assertEquals(MoveState.ROLLED_BACK, stateAfterBadAnswers(10));
    }

    /** Guards against a bad version that keeps its share until the loss of the deciding node is noticed. */
    @Test
    void standInRollsBackIfTheFaultPersists() {
        moveTable.merge(VersionMove.of("desk", "v2", ORDER.orderRevision(), MoveState.RUNNING, 300)
                .withDuration(ORDER.durationMs())
                .withElapsed(8_400));
        assertEquals(MoveState.RUNNING, stateAfterBadAnswers(10, "n-0"), "the first node has time to decide");
        assertEquals(MoveState.ROLLED_BACK, stateAfterBadAnswers(10, "n-0"));
    }

    @Test
    void onlyTheFirstNodesRollBack() {
        moveTable.merge(VersionMove.of("desk", "v2", ORDER.orderRevision(), MoveState.RUNNING, 300)
                .withDuration(ORDER.durationMs()));
        assertEquals(MoveState.RUNNING, stateAfterBadAnswers(60, "n-00", "n-01", "n-02"));
    }

    /** The node whose name sorts first decides again after a restart, but has lost the start time of the move. */
    @Test
    void newDecisionMakerContinuesFromCurrentShare() {
        moveTable.merge(VersionMove.of("desk", "v2", ORDER.orderRevision(), MoveState.RUNNING, 900));
        controller.acceptOrder(ORDER);
        long elapsedMs = simulate(ORDER.durationMs());
        assertEquals(MoveState.COMPLETED, moveTable.find("desk").orElseThrow().state());
        assertTrue(elapsedMs <= ORDER.durationMs() / 4, "took " + elapsedMs + " ms");
    }

    private VersionMove moveAfterOrder(final String version, final long order) {
        controller.acceptOrder(new MoveRequest("desk", version, ORDER.durationMs(), order));
        return moveTable.find("desk").orElseThrow();
    }

    /** Guards against a second run of a move that has ended, when the restored store shows its order again. */
    @Test
    void endedMoveDoesNotBeginAgainAfterARestore() {
        moveAfterOrder("v1", 5);
        moveTable.merge(VersionMove.of("desk", "v1", 5, MoveState.COMPLETED, 900));
        moveAfterOrder("v2", 9);
        moveTable.merge(
                VersionMove.of("desk", "v2", 9, MoveState.ROLLED_BACK, 0).asRecorded());
        VersionMove older = moveAfterOrder("v1", StoreRevision.of(1, 5));
        assertEquals("v2", older.version(), "the copy holds the order before");
        assertEquals(9, moveAfterOrder("v2", StoreRevision.of(1, 9)).order(), "the copy holds the order itself");
        VersionMove repeated = moveAfterOrder("v2", StoreRevision.of(1, 12));
        assertEquals(MoveState.ROLLED_BACK, repeated.state(), "the operator has written its order again");
        assertEquals(StoreRevision.of(1, 12), repeated.order());
        assertFalse(repeated.recorded(), "the outcome must be recorded under the new revision");
        assertEquals(
                MoveState.RUNNING, moveAfterOrder("v2", StoreRevision.of(1, 20)).state(), "a new order");
        assertEquals("v3", moveAfterOrder("v3", StoreRevision.of(1, 21)).version());
    }

    /** Guards against nodes that disagree: one that has just started takes the repeated order for a new one. */
    @Test
    void nodeThatKnowsOnlyTheRepeatedOrderLearnsThatItEnded() {
        VersionMove ended = VersionMove.of("desk", "v2", 9, MoveState.COMPLETED, 900);
        VersionMove started = moveAfterOrder("v2", StoreRevision.of(1, 4));
        assertEquals(MoveState.RUNNING, started.state());
        assertEquals(started.merge(ended), ended.merge(started));
        moveTable.merge(ended);
        assertEquals(MoveState.COMPLETED, moveTable.find("desk").orElseThrow().state());
    }
}
