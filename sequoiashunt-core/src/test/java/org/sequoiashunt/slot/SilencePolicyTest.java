package org.sequoiashunt.slot;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.sequoiashunt.call.TargetCaller.NO_SILENCE_LIMIT;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallUrgency;

class SilencePolicyTest {

    private static final int WORK_MS = 94;
    private static final int OBJECTIVE_MS = 533;
    private static final int DEADLINE_MS = 3_196;

    private static CallRequest request(final long startMs, final boolean idempotent) {
        return CallRequests.of(
                "call", "lookup", new CallUrgency(1, startMs + OBJECTIVE_MS), startMs + DEADLINE_MS, idempotent);
    }

    /** Guards against calls whose outcome becomes unknown although their answer was on its way. */
    @Test
    void callThatIsNotIdempotentIsNeverGivenUp() {
        assertEquals(NO_SILENCE_LIMIT, SilencePolicy.silenceLimitMs(request(0, false), WORK_MS, 100, 0));
    }

    /** Guards against a second attempt that is lost too, when its request may reach no third target. */
    @Test
    void repeatedCallIsNotGivenUp() {
        CallRequest first = request(0, true);
        CallRequest repeated = new CallRequest(
                first.callId(),
                first.service(),
                first.route(),
                first.targetVersion(),
                first.target(),
                first.method(),
                first.uri(),
                first.headers(),
                first.body(),
                true,
                first.idempotencyKey(),
                first.deadlineMs(),
                first.urgency(),
                true,
                "");
        assertEquals(NO_SILENCE_LIMIT, SilencePolicy.silenceLimitMs(repeated, WORK_MS, 100, 0));
    }

    @Test
    void limitIsAMultipleOfTheMeanAndAtLeastTheObjective() {
        assertEquals(1_400, SilencePolicy.silenceLimitMs(request(0, true), 100, 100, 0));
        assertEquals(OBJECTIVE_MS, SilencePolicy.silenceLimitMs(request(0, true), 10, 100, 0));
    }

    /** Guards against calls that are given up without anything to gain, or on the word of a few answers. */
    @Test
    void callKeepsItsDeadlineWithoutTimeForASecondAttemptOrWithoutAKnownMean() {
        assertEquals(NO_SILENCE_LIMIT, SilencePolicy.silenceLimitMs(request(0, true), 200, 100, 0));
        assertEquals(NO_SILENCE_LIMIT, SilencePolicy.silenceLimitMs(request(0, true), 100, 9, 0));
    }

    /** Guards against a count that overflows, so that no call is given up from then on. */
    @Test
    void answersAreCountedWithoutOverflow() {
        TargetMovingAverages.RouteMean one = new TargetMovingAverages.RouteMean(WORK_MS, 1);
        assertTrue(new TargetMovingAverages.RouteMean(WORK_MS, Integer.MAX_VALUE - 1 >> 1)
                        .plus(one)
                        .plus(one)
                        .answers()
                > 0);
        assertEquals(
                1 << 30,
                new TargetMovingAverages.RouteMean(WORK_MS, 1 << 30).plus(one).answers());
    }

    /**
     * Guards against a factor that gives up slow calls: replays 20 targets with a tail, slow phases and short phases in
     * which calls are never answered.
     */
    @Test
    void givesUpLostCallsAndHardlyAnySlowOnes() {
        Replay chosen = new Replay(SilencePolicy.MEAN_FACTOR);
        Replay tail = new Replay(7);
        for (int seed = 1; seed <= 20; seed++) {
            chosen.run(seed);
            tail.run(seed);
        }
        assertTrue(chosen.wrong * 500 < chosen.calls, "wrongly given up: " + chosen);
        assertTrue(chosen.wrong * 5 < tail.wrong, "with a factor of 7: " + tail + ", chosen: " + chosen);
        assertTrue(chosen.found * 10 > chosen.lost * 7, "lost calls found: " + chosen);
    }

    /** Four slots of a target in use for a minute, on a stepped clock. */
    private static final class Replay {

        private static final int SLOTS = 4;
        private static final long DURATION_MS = 60_000;
        private static final long PHASE_MS = 600;

        private final double factor;
        private int calls;
        private int wrong;
        private int lost;
        private int found;

        private Replay(final double factor) {
            this.factor = factor;
        }

        private void run(final long seed) {
            Random random = new Random(seed);
            TargetMovingAverages averages = new TargetMovingAverages();
            PriorityQueue<Run> running = new PriorityQueue<>(Comparator.comparingLong(Run::endMs));
            for (int slot = 0; slot < SLOTS; slot++) {
                running.add(start(slot * 20, random, seed, averages));
            }
            while (running.peek().endMs() < DURATION_MS) {
                Run ended = running.remove();
                averages.recordCall("lookup", ended.durationMs(), ended.failed());
                running.add(start(ended.endMs() + random.nextInt(40), random, seed, averages));
            }
        }

        private Run start(final long nowMs, final Random random, final long seed, final TargetMovingAverages averages) {
            double slowdown = new Random(seed * 1_000_003 + nowMs / PHASE_MS).nextInt(100) < 15 ? 2.5 : 1;
            if (nowMs % 20_000 >= 18_000) {
                slowdown = 12;
            }
            double workMs = WORK_MS * (random.nextInt(100) < 3 ? 7 : 0.7 + 0.6 * random.nextDouble());
            boolean answered = nowMs % 15_000 < 14_800;
            long neededMs = answered ? Math.round(workMs * slowdown) : Long.MAX_VALUE;
            long limitMs = SilencePolicy.silenceLimitMs(
                    request(nowMs, true), averages.meanMs("lookup", 100), averages.answers("lookup"), nowMs, factor);
            long durationMs = Math.min(neededMs, Math.min(limitMs, DEADLINE_MS));
            calls++;
            lost += answered ? 0 : 1;
            found += !answered && limitMs < DEADLINE_MS ? 1 : 0;
            wrong += neededMs < DEADLINE_MS && limitMs < neededMs ? 1 : 0;
            return new Run(nowMs + durationMs, durationMs, neededMs > durationMs);
        }

        @Override
        public String toString() {
            return wrong + " of " + calls + ", found " + found + " of " + lost;
        }
    }

    private record Run(long endMs, long durationMs, boolean failed) {}
}
