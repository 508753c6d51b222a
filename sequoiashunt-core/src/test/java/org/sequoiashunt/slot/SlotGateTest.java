package org.sequoiashunt.slot;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.CallUrgency;
import org.sequoiashunt.call.Outcome;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.call.TargetCaller;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.placement.PlacementPolicy;
import org.sequoiashunt.target.TargetAnnouncement;
import org.sequoiashunt.time.SteppedClock;

class SlotGateTest {

    private final SteppedClock clock = SteppedClock.of(1_000);
    private final List<CompletableFuture<CallResult>> targetResults = new ArrayList<>();
    private final TargetAnnouncement target =
            new TargetAnnouncement("t-1", new NodeAddress("127.0.0.1", 9), "desk", "v1", 1, false, 5, 1, 0);
    private final SlotGate gate = new SlotGate(
            target,
            new SlotGate.Dependencies(
                    clock,
                    (address, request) -> {
                        CompletableFuture<CallResult> run = new CompletableFuture<>();
                        targetResults.add(run);
                        return run;
                    },
                    GateObserver.NO_OP));

    private CompletableFuture<CallResult> call(final boolean idempotent) {
        return gate.handle(CallRequests.of(
                "call-" + targetResults.size() + "-" + clock.nowMs(),
                "lookup",
                new CallUrgency(1, 3_000),
                5_000,
                idempotent));
    }

    private static CallResult answerWithStatus(final int status) {
        return CallResult.complete(new CallResponse(status, List.of(), Body.EMPTY));
    }

    @Test
    void secondCallWaitsForTheSlot() {
        call(true);
        clock.advance(1);
        CompletableFuture<CallResult> second = call(true);
        assertEquals(1, targetResults.size());
        targetResults.get(0).complete(answerWithStatus(200));
        assertEquals(2, targetResults.size());
        targetResults.get(1).complete(answerWithStatus(200));
        assertEquals(Outcome.COMPLETE, second.join().outcome());
    }

    @Test
    void closedGateSendsNoCall() {
        call(true);
        clock.advance(1);
        CompletableFuture<CallResult> waiting = call(true);
        gate.close(Reason.DRAINING);
        assertEquals(Reason.DRAINING, waiting.join().reason());
        assertEquals(Outcome.NOT_RUN, call(true).join().outcome());
        targetResults.get(0).complete(answerWithStatus(200));
        assertEquals(1, targetResults.size());
    }

    @Test
    void cancelledWaitingCallIsNeverSent() {
        call(true);
        clock.advance(1);
        call(true).cancel(true);
        targetResults.get(0).complete(answerWithStatus(200));
        assertEquals(1, targetResults.size());
    }

    @Test
    void cancelsRunningCallOnlyIfIdempotent() {
        call(true).cancel(true);
        assertTrue(targetResults.get(0).isCancelled());
        clock.advance(1);
        CompletableFuture<CallResult> nonIdempotent = call(false);
        nonIdempotent.cancel(true);
        assertFalse(targetResults.get(1).isCancelled());
    }

    @Test
    void reportContainsRouteTimesAndFailures() {
        for (int number = 0; number < 30; number++) {
            call(true);
            clock.advance(40);
            targetResults.get(targetResults.size() - 1).complete(answerWithStatus(200));
        }
        assertEquals(40, gate.report().meanRouteMs("lookup"));
        assertEquals(0, gate.report().failurePermille());
        call(true);
        targetResults.get(targetResults.size() - 1).complete(answerWithStatus(500));
        assertEquals(130, gate.report().failurePermille());
    }

    /** Guards against calls that run after their node has answered that they did not. */
    @Test
    void withdrawnCallIsNeverSentAndARunningCallContinues() {
        CompletableFuture<CallResult> running = call(false);
        clock.advance(1);
        CompletableFuture<CallResult> waiting = call(false);
        gate.withdraw("call-0-1000");
        gate.withdraw("call-1-1001");
        assertEquals(CallResult.notRun(Reason.DRAINING), waiting.join().withLoad(0));
        assertFalse(running.isDone());
        targetResults.get(0).complete(answerWithStatus(200));
        assertEquals(Outcome.COMPLETE, running.join().outcome());
        assertEquals(1, targetResults.size());
    }

    /** Guards against calls that begin at a node's target so late that the node's stop cuts them. */
    @Test
    void drainingGateRefusesCallsThatWouldOutlastTheStop() {
        call(true);
        clock.advance(400);
        targetResults.get(0).complete(answerWithStatus(200));
        call(true);
        clock.advance(1);
        CompletableFuture<CallResult> waiting = call(true);
        gate.drain(clock.nowMs() + 1_000);
        gate.tick();
        assertFalse(waiting.isDone());
        clock.advance(600);
        gate.tick();
        assertEquals(Reason.DRAINING, waiting.join().reason());
        assertEquals(Reason.DRAINING, call(true).join().reason());
        assertEquals(2, targetResults.size());
    }

    @Test
    void refusesLateCallWhileSlotIsTaken() {
        call(true);
        clock.advance(1);
        CompletableFuture<CallResult> waiting = call(true);
        clock.advance(2_500);
        gate.tick();
        assertEquals(Reason.QUEUE_FULL, waiting.join().reason());
    }

    /** Guards against more runs at a target than slots after calls to it were given up. */
    @Test
    void slotOfAGivenUpCallStaysInUseUntilItsDeadline() {
        CompletableFuture<CallResult> first = call(true);
        clock.advance(1_500);
        targetResults.get(0).complete(CallResult.unknown(Reason.UNRESPONSIVE));
        assertEquals(Outcome.UNKNOWN, first.join().outcome());
        assertEquals(0, gate.running(), "the stop of the node does not wait for it");
        assertEquals(
                Reason.QUEUE_FULL, call(true).getNow(null).reason(), "the only slot is in use beyond the objective");
        clock.advance(2_501);
        assertEquals(1, targetResults.size());
        gate.handle(CallRequests.of("call-late", new CallUrgency(1, 9_000), 9_000));
        assertEquals(2, targetResults.size());
    }

    /** Guards against calls that are given up on routes that have no second attempt. */
    @Test
    void silenceIsLimitedOnlyOnRoutesThatAllowIt() {
        List<Long> limitsMs = new ArrayList<>();
        TargetCaller caller = new TargetCaller() {
            @Override
            public CompletableFuture<CallResult> call(final NodeAddress address, final CallRequest request) {
                return CompletableFuture.completedFuture(answerWithStatus(200));
            }

            @Override
            public CompletableFuture<CallResult> call(
                    final NodeAddress address, final CallRequest request, final long silenceLimitMs) {
                limitsMs.add(silenceLimitMs);
                clock.advance(20);
                return call(address, request);
            }
        };
        for (boolean limited : new boolean[] {false, true}) {
            limitsMs.clear();
            SlotGate configured = new SlotGate(
                    target,
                    new SlotGate.Dependencies(
                            clock,
                            caller,
                            GateObserver.NO_OP,
                            service -> WarmupRule.NONE,
                            () -> true,
                            () -> PlacementPolicy.LOWEST_COST,
                            route -> limited));
            for (int number = 0; number <= SilencePolicy.MINIMUM_ANSWERS; number++) {
                long nowMs = clock.nowMs();
                configured.handle(CallRequests.of("call-" + number, new CallUrgency(1, nowMs + 200), nowMs + 5_000));
            }
            assertEquals(TargetCaller.NO_SILENCE_LIMIT, limitsMs.get(0));
            assertEquals(limited ? 280 : TargetCaller.NO_SILENCE_LIMIT, limitsMs.get(SilencePolicy.MINIMUM_ANSWERS));
        }
    }

    private SlotGate gateOf(final long sequence, final boolean fairShares) {
        return new SlotGate(
                new TargetAnnouncement("t-1", target.address(), "desk", "v1", 8, false, 5, sequence, 0),
                new SlotGate.Dependencies(
                        clock,
                        (address, request) -> {
                            targetResults.add(new CompletableFuture<>());
                            return targetResults.get(targetResults.size() - 1);
                        },
                        GateObserver.NO_OP,
                        service -> WarmupRule.NONE,
                        () -> fairShares,
                        () -> PlacementPolicy.LOWEST_COST,
                        route -> true));
    }

    private void send(final SlotGate opened, final int calls) {
        for (int number = 0; number < calls; number++) {
            opened.handle(CallRequests.of("call-" + number, new CallUrgency(1, 9_000), 9_000));
        }
    }

    private void answer(final SlotGate opened, final int call, final int statedRunning, final long sentMs) {
        opened.recordStatedLoad(new StatedLoad(statedRunning, 0, 8, 0), sentMs);
        targetResults.get(call).complete(answerWithStatus(200));
    }

    /** Guards against more runs than slots when a node restarts while calls of its earlier process still run. */
    @Test
    void gateOfATargetThatRanBeforeOpensOneSlotUntilTheTargetStatesThatOthersAreFree() {
        SlotGate opened = gateOf(7, true);
        assertEquals(7, opened.report().running(), "entries must not count on the held slots");
        assertEquals(0, opened.running(), "the stop of the node does not wait for them");
        send(opened, 12);
        assertEquals(1, targetResults.size());
        answer(opened, 0, 4, 1_000);
        assertEquals(5, targetResults.size(), "at most four earlier runs are left");
        clock.advance(HeldSlots.EARLIER_RUNS_MS);
        answer(opened, 1, 7, 1_000);
        assertEquals(6, targetResults.size(), "the target has not stated that they ended");
        clock.advance(HeldSlots.STATED_EARLIER_RUNS_MS - HeldSlots.EARLIER_RUNS_MS);
        opened.tick();
        assertEquals(10, targetResults.size());
    }

    /** Guards against slots that are never returned if the target states no load. */
    @Test
    void gateOfATargetThatRanBeforeOpensAllSlotsInTime() {
        SlotGate opened = gateOf(7, true);
        send(opened, 8);
        assertEquals(1, targetResults.size());
        clock.advance(HeldSlots.EARLIER_RUNS_MS);
        opened.tick();
        assertEquals(8, targetResults.size());
    }

    @Test
    void gateOfANewTargetOrWithoutFairSharesOpensAllSlots() {
        send(gateOf(1, true), 8);
        assertEquals(8, targetResults.size());
        send(gateOf(7, false), 8);
        assertEquals(16, targetResults.size());
    }

    /** Guards against a slot that is lost until a far deadline although its run has ended. */
    @Test
    void slotOfAGivenUpCallIsFreedByAnAnswerToALaterCall() {
        SlotGate opened = gateOf(1, true);
        send(opened, 8);
        clock.advance(1_500);
        targetResults.get(0).complete(CallResult.unknown(Reason.UNRESPONSIVE));
        answer(opened, 1, 0, 1_000);
        send(opened, 2);
        assertEquals(9, targetResults.size(), "the answered call was sent before the slot was held");
        clock.advance(50);
        answer(opened, 8, 1, 2_500);
        assertEquals(10, targetResults.size(), "the slot of the answered call");
        clock.advance(50);
        answer(opened, 9, 0, 2_550);
        send(opened, 3);
        assertEquals(12, targetResults.size(), "with the held slot");
    }
}
