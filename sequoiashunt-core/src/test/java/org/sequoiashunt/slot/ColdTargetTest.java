package org.sequoiashunt.slot;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.CallUrgency;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.fleet.TargetReport;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.placement.PlacementPolicy;
import org.sequoiashunt.target.TargetAnnouncement;
import org.sequoiashunt.time.SteppedClock;

/** Tests a gate of a service whose cold targets sustain 10 calls a second and are cold for 20 s after a start. */
class ColdTargetTest {

    private static final int RATE = 10;
    private static final long STEP_MS = 10;

    private final SteppedClock clock = SteppedClock.of(1_000_000);
    private final List<Long> startTimesMs = new ArrayList<>();
    private final List<CompletableFuture<CallResult>> running = new ArrayList<>();
    private WarmupRule rule = new WarmupRule(20_000, RATE);
    private int calls;

    private SlotGate gate(final long sequence, final long warmupLeftMs) {
        return new SlotGate(
                announcement(sequence, warmupLeftMs),
                new SlotGate.Dependencies(
                        clock,
                        (address, request) -> {
                            startTimesMs.add(clock.nowMs());
                            running.add(new CompletableFuture<>());
                            return running.get(running.size() - 1);
                        },
                        GateObserver.NO_OP,
                        service -> rule,
                        () -> false,
                        () -> PlacementPolicy.LOWEST_COST,
                        route -> false));
    }

    private static TargetAnnouncement announcement(final long sequence, final long warmupLeftMs) {
        return new TargetAnnouncement(
                "t-1", new NodeAddress("127.0.0.1", 9), "desk", "v1", 8, false, 5, sequence, warmupLeftMs);
    }

    private CompletableFuture<CallResult> call(final SlotGate gate) {
        calls++;
        long nowMs = clock.nowMs();
        return gate.handle(CallRequests.of("call-" + calls, new CallUrgency(1, nowMs + 400), nowMs + 2_000));
    }

    /** Calls at a rate far above the limit; each call takes 20 ms. */
    private void flood(final SlotGate gate, final long durationMs, final Random random) {
        for (long elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
            for (int call = random.nextInt(4); call > 0; call--) {
                call(gate);
            }
            clock.advance(STEP_MS);
            if (elapsedMs % (2 * STEP_MS) == 0) {
                List<CompletableFuture<CallResult>> ended = List.copyOf(running);
                running.clear();
                ended.forEach(run -> run.complete(CallResult.complete(new CallResponse(200, List.of(), Body.EMPTY))));
                gate.tick();
            }
        }
    }

    private int mostStartsInASecond() {
        int most = 0;
        for (int first = 0; first < startTimesMs.size(); first++) {
            int last = first;
            while (last < startTimesMs.size() && startTimesMs.get(last) - startTimesMs.get(first) < 1_000) {
                last++;
            }
            most = Math.max(most, last - first);
        }
        return most;
    }

    /** Guards against a burst that crashes a cold target, also when the node's process restarts in between. */
    @Test
    void startsStayWithinTheRateAcrossARestartOfTheNode() {
        flood(gate(1, 0), 7_000, new Random(3));
        assertTrue(startTimesMs.size() >= 5 * RATE, startTimesMs.size() + " calls started in 7 s");
        flood(gate(6, 13_000), 7_000, new Random(4));
        assertTrue(mostStartsInASecond() <= RATE, mostStartsInASecond() + " starts in a second");
    }

    /** Guards against a target that cools down without calls, and gets full load until its next announcement. */
    @Test
    void idleOrResumedTargetCountsAsColdUntilItsNextAnnouncement() {
        SlotGate gate = gate(500, 0);
        clock.advance(WarmupLimiter.IDLE_MS);
        flood(gate, 1_500, new Random(5));
        assertTrue(mostStartsInASecond() <= RATE, mostStartsInASecond() + " starts in a second");
        gate.updateAnnouncement(announcement(501, 0));
        int before = startTimesMs.size();
        flood(gate, 1_000, new Random(6));
        assertTrue(startTimesMs.size() - before > 5 * RATE, "warm");
        gate.updateAnnouncement(announcement(502, 5_000));
        clock.advance(1_000);
        startTimesMs.clear();
        flood(gate, 3_000, new Random(7));
        assertTrue(mostStartsInASecond() <= RATE, "cold again as announced");
    }

    @Test
    void refusalStatesTheWaitAndTheReportCountsOnTheRate() {
        SlotGate gate = gate(1, 0);
        CallResult refusal = call(gate).getNow(null);
        assertEquals(Reason.QUEUE_FULL, refusal.reason(), "the last second is taken for full");
        assertEquals(1_000, refusal.expectedWaitMs());
        TargetReport report = gate.report();
        assertEquals(RATE, report.slots());
        assertEquals(RATE, report.running());
        assertEquals(1_000, report.meanMs());
        assertEquals(20_000, report.warmupLeftMs());
    }

    @Test
    void serviceWithoutARateIsNotLimited() {
        rule = new WarmupRule(20_000, 0);
        SlotGate gate = gate(1, 20_000);
        flood(gate, 1_000, new Random(8));
        assertTrue(startTimesMs.size() > 5 * RATE);
        assertEquals(8, gate.report().slots());
    }

    /** Guards against calls that wait at the gates of an evacuated failure domain and run there later. */
    @Test
    void suspendedGateRefusesWaitingAndNewCallsAndLetsRunningOnesEnd() {
        SlotGate gate = gate(500, 0);
        List<CompletableFuture<CallResult>> results = new ArrayList<>();
        for (int call = 0; call < 10; call++) {
            results.add(call(gate));
        }
        gate.suspend();
        assertEquals(Reason.EVACUATED, results.get(9).getNow(null).reason());
        assertEquals(Reason.EVACUATED, call(gate).getNow(null).reason());
        running.get(0).complete(CallResult.complete(new CallResponse(200, List.of(), Body.EMPTY)));
        assertTrue(results.get(0).getNow(null).response().isPresent());
        assertEquals(8, startTimesMs.size());
        gate.resume();
        clock.advance(1_000);
        call(gate);
        assertEquals(9, startTimesMs.size());
    }
}
