package org.sequoiashunt.gate;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Outcome;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.time.SteppedClock;

class NodeGateTest {

    private static final CallResult ANSWER = CallResult.complete(new CallResponse(200, List.of(), Body.EMPTY));

    private final SteppedClock clock = SteppedClock.of(1_000);
    private final List<CompletableFuture<CallResult>> dispatched = new ArrayList<>();
    private final List<String> suspects = new ArrayList<>();
    private final NodeGate gate = new NodeGate(
            clock,
            (target, request) -> {
                CompletableFuture<CallResult> run = new CompletableFuture<>();
                dispatched.add(run);
                return run;
            },
            (service, version, route, result, latencyMs) -> {},
            new CrashPolicy() {
                @Override
                public Admission admit(final CallRequest request) {
                    return suspects.contains(request.callId()) ? Admission.ALONE : Admission.NORMAL;
                }

                @Override
                public void recordEnd(final CallRequest request, final CallResult result, final boolean ranAlone) {}
            });

    NodeGateTest() {
        assertTrue(gate.announce(target("one", 2)));
    }

    @Test
    void refusesUnknownTargetAndOtherVersion() {
        assertEquals(
                Reason.NO_TARGET, gate.handle(request("a", "two", "v1")).join().reason());
        assertEquals(
                Reason.NO_TARGET, gate.handle(request("a", "one", "v2")).join().reason());
    }

    @Test
    void neverRunsMoreCallsThanSlots() {
        for (int call = 0; call < 4; call++) {
            gate.handle(request("call-" + call, "one", "v1"));
        }
        assertEquals(2, dispatched.size());
        dispatched.get(0).complete(ANSWER);
        assertEquals(3, dispatched.size());
    }

    @Test
    void callIsRefusedWithoutRunningWhenQueueIsFull() {
        for (int call = 0; call < 4; call++) {
            gate.handle(request("call-" + call, "one", "v1"));
        }
        CallResult refused = gate.handle(request("late", "one", "v1")).join();
        assertEquals(Outcome.NOT_RUN, refused.outcome());
        assertEquals(Reason.QUEUE_FULL, refused.reason());
        assertEquals(4, refused.load());
    }

    @Test
    void callWhoseWaitExpiresIsRefusedAndNeverRuns() {
        gate.handle(request("first", "one", "v1"));
        gate.handle(request("second", "one", "v1"));
        CompletableFuture<CallResult> waiting = gate.handle(request("third", "one", "v1"));
        clock.advance(TargetGate.MAXIMUM_WAIT_MS);
        gate.tick();
        assertEquals(Reason.QUEUE_FULL, waiting.join().reason());
        dispatched.get(0).complete(ANSWER);
        assertEquals(2, dispatched.size());
    }

    @Test
    void refusesCallPastItsDeadline() {
        clock.advance(10_000);
        assertEquals(
                Reason.DEADLINE,
                gate.handle(request("late", "one", "v1")).join().reason());
    }

    @Test
    void drainRefusesNewAndWaitingCallsAndLetsRunningCallsFinish() {
        CompletableFuture<CallResult> running = gate.handle(request("first", "one", "v1"));
        gate.handle(request("second", "one", "v1"));
        CompletableFuture<CallResult> waiting = gate.handle(request("third", "one", "v1"));
        CompletableFuture<Void> drained = gate.withdraw("one");
        assertEquals(Reason.DRAINING, waiting.join().reason());
        assertEquals(
                Reason.DRAINING, gate.handle(request("new", "one", "v1")).join().reason());
        assertFalse(running.isDone());
        assertFalse(drained.isDone());
        dispatched.forEach(run -> run.complete(ANSWER));
        assertEquals(Outcome.COMPLETE, running.join().outcome());
        assertTrue(drained.isDone());
    }

    @Test
    void targetIsRemovedWhenAnnouncementExpires() {
        clock.advance(NodeGate.ANNOUNCEMENT_TIMEOUT_MS + 1);
        gate.tick();
        assertEquals(List.of(), gate.servedTargets());
    }

    @Test
    void renewalOfDrainingTargetIsRefused() {
        gate.handle(request("first", "one", "v1"));
        gate.withdraw("one");
        assertFalse(gate.announce(target("one", 2)));
    }

    @Test
    void suspectRunsAloneOnTarget() {
        suspects.add("suspect");
        gate.handle(request("first", "one", "v1"));
        gate.handle(request("suspect", "one", "v1"));
        gate.handle(request("behind", "one", "v1"));
        assertEquals(1, dispatched.size());
        dispatched.get(0).complete(ANSWER);
        assertEquals(2, dispatched.size());
        dispatched.get(1).complete(ANSWER);
        assertEquals(3, dispatched.size());
    }

    @Test
    void cancelledCallIsCancelledAtTheTargetOrNeverDispatched() {
        CompletableFuture<CallResult> running = gate.handle(request("first", "one", "v1"));
        gate.handle(request("second", "one", "v1"));
        CompletableFuture<CallResult> waiting = gate.handle(request("third", "one", "v1"));
        waiting.cancel(true);
        running.cancel(true);
        assertTrue(dispatched.get(0).isCancelled());
        assertEquals(2, dispatched.size());
    }

    private static AnnouncedTarget target(final String name, final int slots) {
        return new AnnouncedTarget(name, "desk", "v1", new NodeAddress("127.0.0.1", 80), slots, 110, "", "");
    }

    private static CallRequest request(final String callId, final String target, final String version) {
        return new CallRequest(
                callId,
                "desk",
                "lookup",
                version,
                target,
                "GET",
                "/",
                List.of(),
                Body.EMPTY,
                true,
                Optional.empty(),
                6_000);
    }
}
