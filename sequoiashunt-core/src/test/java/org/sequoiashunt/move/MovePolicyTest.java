package org.sequoiashunt.move;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.fleet.MoveState;
import org.sequoiashunt.fleet.VersionMove;
import org.sequoiashunt.fleet.VersionTally;

/** Plays moves of 16 s at 600 requests a second against the policy, in steps of 100 ms. */
class MovePolicyTest {

    private static final long DURATION_MS = 16_000;
    private static final long STEP_MS = 100;
    private static final int REQUESTS_PER_STEP = 60;
    private static final long WINDOW_MS = 2_500;

    private final MovePolicy policy = new MovePolicy();
    private final MoveRequest order = new MoveRequest("desk", "v2", DURATION_MS, 7);
    private final EvidenceWindow evidence = new EvidenceWindow("desk", WINDOW_MS);
    private VersionMove move = new VersionMove("desk", "v2", 7, MoveState.RUNNING, 0);
    private long sharedTroubleFromMs = Long.MAX_VALUE;
    private long exposed;
    private long requests;
    private final long[] latest = new long[3];
    private final long[] others = new long[3];

    /** How the new version answers. */
    private interface Behaviour {
        boolean fails(long nowMs, int sharePermille, long number);

        default long durationMs(final long nowMs) {
            return 100;
        }
    }

    private long play(final Behaviour behaviour) {
        for (long nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
            answer(behaviour, nowMs);
            Optional<MovePolicy.Decision> decision = policy.decide(order, move, nowMs, evidence);
            if (decision.isPresent()) {
                move = decision.get().move();
            }
            if (move.state().isSealed()) {
                return nowMs;
            }
        }
        return DURATION_MS;
    }

    private void answer(final Behaviour behaviour, final long nowMs) {
        for (int number = 0; number < REQUESTS_PER_STEP; number++) {
            requests++;
            boolean toNew = requests * move.sharePermille() / 1_000 > (requests - 1) * move.sharePermille() / 1_000;
            long[] counts = toNew ? latest : others;
            counts[0]++;
            if (toNew) {
                exposed++;
                counts[1] += behaviour.fails(nowMs, move.sharePermille(), exposed) ? 1 : 0;
                counts[2] += behaviour.durationMs(nowMs);
            } else {
                boolean trouble = nowMs >= sharedTroubleFromMs && requests % 5 < 2;
                counts[1] += trouble || requests % 200 == 0 ? 1 : 0;
                counts[2] += 100;
            }
        }
        evidence.add(
                "n-1",
                1,
                List.of(
                        new VersionTally("desk", "v2", "lookup", latest[0], latest[1], latest[2]),
                        new VersionTally("desk", "v1", "lookup", others[0], others[1], others[2])),
                nowMs);
    }

    /** The users' bound: a tenth of the requests of the whole move, and 50. */
    private void assertExposureKept() {
        long whole = DURATION_MS / STEP_MS * REQUESTS_PER_STEP;
        assertTrue(exposed <= whole / 10 + 50, exposed + " of " + whole);
        assertEquals(MoveState.ROLLED_BACK, move.state());
    }

    @Test
    void aGoodVersionIsDoneInTime() {
        long endedMs = play((nowMs, share, number) -> number % 200 == 0);
        assertEquals(MoveState.COMPLETED, move.state());
        assertTrue(endedMs < DURATION_MS, "ended at " + endedMs);
    }

    /** Judges counts that arrived in one window: answers and failures of the new version, then of the other one. */
    private Optional<MovePolicy.Decision> judge(final int share, final long... counts) {
        evidence.add(
                "n-1",
                1,
                List.of(
                        new VersionTally("desk", "v2", "lookup", counts[0], counts[1], 100 * counts[0]),
                        new VersionTally("desk", "v1", "lookup", counts[2], counts[3], 100 * counts[2])),
                2_600);
        move = new VersionMove("desk", "v2", 7, MoveState.RUNNING, share);
        return policy.decide(order, move, 2_626, evidence);
    }

    /** Counts of a good version whose targets met calls that failed: five failures in a row of 28 answers. */
    @Test
    void aBurstOfFailuresDoesNotTakeAGoodVersionBack() {
        Optional<MovePolicy.Decision> decision = judge(40, 28, 5, 2_258, 84);
        assertTrue(decision.isEmpty(), decision::toString);
    }

    /** Counts of a good version that met trouble while the other one had hardly any traffic left. */
    @Test
    void fewAnswersOfTheOtherVersionSayLittle() {
        Optional<MovePolicy.Decision> decision = judge(900, 288, 38, 11, 0);
        assertTrue(decision.isEmpty(), decision::toString);
    }

    @Test
    void aVersionThatFailsWhileBothFailOftenIsTakenBack() {
        Optional<MovePolicy.Decision> decision = judge(40, 70, 42, 1_500, 300);
        assertEquals(MoveState.ROLLED_BACK, decision.orElseThrow().move().state());
    }

    /** Calls of both versions fail from 12 s on, when the new one has almost all the traffic. */
    @Test
    void troubleThatBothVersionsMeetDoesNotTakeAGoodOneBack() {
        sharedTroubleFromMs = 12_000;
        play((nowMs, share, number) -> nowMs >= sharedTroubleFromMs && number % 5 < 2);
        assertEquals(MoveState.COMPLETED, move.state());
    }

    @Test
    void aVersionThatFailsAtOnceIsTakenBack() {
        play((nowMs, share, number) -> number % 2 == 0);
        assertExposureKept();
    }

    @Test
    void aVersionThatFailsLateIsTakenBack() {
        play((nowMs, share, number) -> nowMs > 6_000 && number % 2 == 0);
        assertExposureKept();
    }

    @Test
    void aVersionThatFailsUnderLoadIsTakenBack() {
        play((nowMs, share, number) -> share >= 550 && number % 2 == 0);
        assertExposureKept();
    }

    @Test
    void aSlowVersionIsTakenBack() {
        play(new Behaviour() {
            @Override
            public boolean fails(final long nowMs, final int share, final long number) {
                return false;
            }

            @Override
            public long durationMs(final long nowMs) {
                return 800;
            }
        });
        assertExposureKept();
    }

    @Test
    void anOutcomeIsFinal() {
        VersionMove sealed = new VersionMove("desk", "v2", 7, MoveState.ROLLED_BACK, 0);
        assertTrue(policy.decide(order, sealed, DURATION_MS, evidence).isEmpty());
    }

    @Test
    void aNodeThatRestartsIsNotCountedTwice() {
        EvidenceWindow window = new EvidenceWindow("desk", WINDOW_MS);
        window.add("n", 1, List.of(new VersionTally("desk", "v2", "r", 10, 1, 100)), 0);
        window.add("n", 1, List.of(new VersionTally("desk", "v2", "r", 10, 1, 100)), 300);
        window.add("n", 2, List.of(new VersionTally("desk", "v2", "r", 4, 0, 40)), 600);
        assertEquals(14, window.sum("v2", false, null).answers());
        window.add("n", 2, List.of(), 3_400);
        assertEquals(0, window.sum("v2", false, null).answers());
    }
}
