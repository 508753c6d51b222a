package org.sequoiashunt.slot;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.CallUrgency;
import org.sequoiashunt.call.Outcome;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.target.TargetAnnouncement;
import org.sequoiashunt.time.SteppedClock;

class SlotGateTest {

    private final SteppedClock clock = SteppedClock.of(1_000);
    private final List<CompletableFuture<CallResult>> sent = new ArrayList<>();
    private final TargetAnnouncement target =
            new TargetAnnouncement("t-1", new NodeAddress("127.0.0.1", 9), "desk", "v1", 1, false, 5, 1, 0);
    private final SlotGate gate = new SlotGate(
            target,
            new SlotGate.Dependencies(
                    clock,
                    (address, request) -> {
                        CompletableFuture<CallResult> run = new CompletableFuture<>();
                        sent.add(run);
                        return run;
                    },
                    GateObserver.SILENT));

    private CompletableFuture<CallResult> call(final boolean idempotent) {
        return gate.handle(CallRequests.of(
                "call-" + sent.size() + "-" + clock.nowMs(), "lookup", new CallUrgency(1, 3_000), 5_000, idempotent));
    }

    private static CallResult answer(final int status) {
        return CallResult.complete(new CallResponse(status, List.of(), Body.EMPTY));
    }

    @Test
    void aSecondCallWaitsForTheSlot() {
        call(true);
        clock.advance(1);
        CompletableFuture<CallResult> second = call(true);
        assertEquals(1, sent.size());
        sent.get(0).complete(answer(200));
        assertEquals(2, sent.size());
        sent.get(1).complete(answer(200));
        assertEquals(Outcome.COMPLETE, second.join().outcome());
    }

    @Test
    void afterClosingNothingIsSent() {
        call(true);
        clock.advance(1);
        CompletableFuture<CallResult> waiting = call(true);
        gate.close(Reason.DRAINING);
        assertEquals(Reason.DRAINING, waiting.join().reason());
        assertEquals(Outcome.NOT_RUN, call(true).join().outcome());
        sent.get(0).complete(answer(200));
        assertEquals(1, sent.size());
    }

    @Test
    void aCallerWhoLeavesTheQueueIsNeverServed() {
        call(true);
        clock.advance(1);
        call(true).cancel(true);
        sent.get(0).complete(answer(200));
        assertEquals(1, sent.size());
    }

    @Test
    void breaksOffIdempotentCallsOnly() {
        call(true).cancel(true);
        assertTrue(sent.get(0).isCancelled());
        clock.advance(1);
        CompletableFuture<CallResult> once = call(false);
        once.cancel(true);
        assertFalse(sent.get(1).isCancelled());
    }

    @Test
    void reportsFailuresAndTimes() {
        for (int number = 0; number < 30; number++) {
            call(true);
            clock.advance(40);
            sent.get(sent.size() - 1).complete(answer(200));
        }
        assertEquals(40, gate.report().meanRouteMs("lookup"));
        assertEquals(0, gate.report().failurePermille());
        call(true);
        sent.get(sent.size() - 1).complete(answer(500));
        assertEquals(130, gate.report().failurePermille());
    }

    @Test
    void refusesWhatMissedItsObjectiveWhileTheSlotIsTaken() {
        call(true);
        clock.advance(1);
        CompletableFuture<CallResult> waiting = call(true);
        clock.advance(2_500);
        gate.tick();
        assertEquals(Reason.QUEUE_FULL, waiting.join().reason());
    }
}
