package org.sequoiashunt.move;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiashunt.fleet.MoveState;
import org.sequoiashunt.fleet.VersionMove;
import org.sequoiashunt.fleet.VersionTally;

/** Simulates moves of 16 s at 600 requests a second in steps of 100 ms. */
class MovePolicyTest {

    private static final long DURATION_MS = 16_000;
    private static final long STEP_MS = 100;
    private static final int REQUESTS_PER_STEP = 60;
    private static final long WINDOW_MS = 2_500;

    private final MovePolicy policy = new MovePolicy();
    private final EvidenceWindow evidence = new EvidenceWindow("desk", WINDOW_MS);
    private VersionMove move =
            VersionMove.of("desk", "v2", 7, MoveState.RUNNING, 0).withDuration(DURATION_MS);
    private long sharedFailuresFromMs = Long.MAX_VALUE;
    private long newVersionRequests;
    private long requests;
    private final long[] newVersionCounts = new long[3];
    private final long[] otherVersionCounts = new long[3];

    /** Simulated failures and durations of the new version. */
    private interface Behaviour {
        boolean fails(long nowMs, int sharePermille, long number);

        default long durationMs(final long nowMs) {
            return 100;
        }
    }

    private long simulateMove(final Behaviour behaviour) {
        for (long nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
            simulateAnswers(behaviour, nowMs);
            Optional<MovePolicy.Decision> decision = policy.decide(move.withElapsed(nowMs), evidence);
            if (decision.isPresent()) {
                move = decision.get().move();
            }
            if (move.state().isTerminal()) {
                return nowMs;
            }
        }
        return DURATION_MS;
    }

    private void simulateAnswers(final Behaviour behaviour, final long nowMs) {
        for (int number = 0; number < REQUESTS_PER_STEP; number++) {
            requests++;
            boolean toNewVersion =
                    requests * move.sharePermille() / 1_000 > (requests - 1) * move.sharePermille() / 1_000;
            long[] counts = toNewVersion ? newVersionCounts : otherVersionCounts;
            counts[0]++;
            if (toNewVersion) {
                newVersionRequests++;
                counts[1] += behaviour.fails(nowMs, move.sharePermille(), newVersionRequests) ? 1 : 0;
                counts[2] += behaviour.durationMs(nowMs);
            } else {
                boolean sharedFailure = nowMs >= sharedFailuresFromMs && requests % 5 < 2;
                counts[1] += sharedFailure || requests % 200 == 0 ? 1 : 0;
                counts[2] += 100;
            }
        }
        evidence.add(
                "n-1",
                1,
                List.of(
                        new VersionTally(
                                "desk", "v2", "lookup", newVersionCounts[0], newVersionCounts[1], newVersionCounts[2]),
                        new VersionTally(
                                "desk",
                                "v1",
                                "lookup",
                                otherVersionCounts[0],
                                otherVersionCounts[1],
                                otherVersionCounts[2])),
                nowMs);
    }

    /** The users' limit for requests to a bad version: a tenth of all requests of the move, plus 50. */
    private void assertRolledBackWithinRequestLimit() {
        long totalRequests = DURATION_MS / STEP_MS * REQUESTS_PER_STEP;
        assertTrue(newVersionRequests <= totalRequests / 10 + 50, newVersionRequests + " of " + totalRequests);
        assertEquals(MoveState.ROLLED_BACK, move.state());
    }

    @Test
    void goodVersionCompletesBeforeDeadline() {
        long endedMs = simulateMove((nowMs, share, number) -> number % 200 == 0);
        assertEquals(MoveState.COMPLETED, move.state());
        assertTrue(endedMs < DURATION_MS, "ended at " + endedMs);
    }

    /** Decides on counts of one window: answers and failures of the new version, then of the other version. */
    private Optional<MovePolicy.Decision> decideOnCounts(final int share, final long... counts) {
        evidence.add(
                "n-1",
                1,
                List.of(
                        new VersionTally("desk", "v2", "lookup", counts[0], counts[1], 100 * counts[0]),
                        new VersionTally("desk", "v1", "lookup", counts[2], counts[3], 100 * counts[2])),
                2_600);
        move = VersionMove.of("desk", "v2", 7, MoveState.RUNNING, share).withDuration(DURATION_MS);
        return policy.decide(move.withElapsed(2_626), evidence);
    }

    /** Guards against rolling back a good version when calls of its targets fail: 5 of 28 answers, in a row. */
    @Test
    void burstOfFailuresDoesNotRollBackGoodVersion() {
        Optional<MovePolicy.Decision> decision = decideOnCounts(40, 28, 5, 2_258, 84);
        assertTrue(decision.isEmpty(), decision::toString);
    }

    /** Guards against rolling back a good version for shared failures when the other version gets little traffic. */
    @Test
    void fewBaselineAnswersDoNotRollBackGoodVersion() {
        Optional<MovePolicy.Decision> decision = decideOnCounts(900, 288, 38, 11, 0);
        assertTrue(decision.isEmpty(), decision::toString);
    }

    @Test
    void faultyVersionIsRolledBackDespiteHighBaselineFailures() {
        Optional<MovePolicy.Decision> decision = decideOnCounts(40, 70, 42, 1_500, 300);
        assertEquals(MoveState.ROLLED_BACK, decision.orElseThrow().move().state());
    }

    /** Calls of the two versions fail from 12 s on, when the new version has almost all the traffic. */
    @Test
    void failuresOfAllVersionsDoNotRollBackGoodVersion() {
        sharedFailuresFromMs = 12_000;
        simulateMove((nowMs, share, number) -> nowMs >= sharedFailuresFromMs && number % 5 < 2);
        assertEquals(MoveState.COMPLETED, move.state());
    }

    @Test
    void versionFailingFromTheStartIsRolledBack() {
        simulateMove((nowMs, share, number) -> number % 2 == 0);
        assertRolledBackWithinRequestLimit();
    }

    @Test
    void versionFailingLateIsRolledBack() {
        simulateMove((nowMs, share, number) -> nowMs > 6_000 && number % 2 == 0);
        assertRolledBackWithinRequestLimit();
    }

    @Test
    void versionFailingUnderLoadIsRolledBack() {
        simulateMove((nowMs, share, number) -> share >= 550 && number % 2 == 0);
        assertRolledBackWithinRequestLimit();
    }

    /** Guards against a version that fails seldom, but far more often than the others, and is accepted. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void versionThatFailsEightOfAHundredRequestsIsRolledBack(final int seed) {
        Random random = new Random(seed);
        simulateMove((nowMs, share, number) -> random.nextDouble() < 0.08);
        assertRolledBackWithinRequestLimit();
    }

    /** Guards against rolling back good versions by the same check. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void versionThatFailsAsOftenAsTheOthersIsAccepted(final int seed) {
        Random random = new Random(seed);
        simulateMove((nowMs, share, number) -> random.nextDouble() < 0.01);
        assertEquals(MoveState.COMPLETED, move.state());
    }

    @Test
    void slowVersionIsRolledBack() {
        simulateMove(new Behaviour() {
            @Override
            public boolean fails(final long nowMs, final int share, final long number) {
                return false;
            }

            @Override
            public long durationMs(final long nowMs) {
                return 800;
            }
        });
        assertRolledBackWithinRequestLimit();
    }

    @Test
    void terminalStateDoesNotChange() {
        VersionMove sealed =
                VersionMove.of("desk", "v2", 7, MoveState.ROLLED_BACK, 0).withDuration(DURATION_MS);
        assertTrue(policy.decide(sealed, evidence).isEmpty());
    }

    @Test
    void repeatedAndRestartedCountsAreNotCountedTwice() {
        EvidenceWindow window = new EvidenceWindow("desk", WINDOW_MS);
        window.add("n", 1, List.of(new VersionTally("desk", "v2", "r", 10, 1, 100)), 0);
        window.add("n", 1, List.of(new VersionTally("desk", "v2", "r", 10, 1, 100)), 300);
        window.add("n", 2, List.of(new VersionTally("desk", "v2", "r", 4, 0, 40)), 600);
        assertEquals(14, window.sum("v2", false, null).answers());
        window.add("n", 2, List.of(), 3_400);
        assertEquals(0, window.sum("v2", false, null).answers());
    }
}
