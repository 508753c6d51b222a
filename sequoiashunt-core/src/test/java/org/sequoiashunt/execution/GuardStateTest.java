package org.sequoiashunt.execution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.time.SteppedClock;

final class GuardStateTest {

    private static final ClaimTiming TIMING = ClaimTiming.defaults();
    private static final List<String> FIVE_GUARDS = List.of("a", "b", "c", "d", "e");
    private static final ClaimKey KEY = ClaimKey.of("ledger", "key");

    private final SteppedClock clock = SteppedClock.of(1_000_000);
    private final GuardState state = state("a");

    @Test
    void hasCompleteHistoryAtOnceWhenTheStoreWasEmpty() {
        state.recordStoreRead(Optional.empty());
        state.adopt(new Roster("east", 1, List.of("a", "b", "c")));
        assertTrue(state.hasCompleteHistory(KEY));
    }

    @Test
    void hasCompleteHistoryAfterTheRetentionWindowWhenTheFirstEpochAlreadyExisted() {
        state.recordStoreRead(Optional.of(new Roster("east", 1, List.of("a", "b", "c"))));
        recordAnswers(1, "b");
        assertFalse(state.hasCompleteHistory(KEY));
        clock.advance(TIMING.retentionMs() - 1);
        assertFalse(state.hasCompleteHistory(KEY));
        clock.advance(1);
        assertTrue(state.hasCompleteHistory(KEY));
    }

    @Test
    void hasIncompleteHistoryWhenTheStoreIsEmptyOnlyLater() {
        state.recordStoreRead(Optional.of(new Roster("east", 1, List.of("a", "b", "c"))));
        state.recordStoreRead(Optional.empty());
        assertFalse(state.hasCompleteHistory(KEY));
    }

    @Test
    void hasIncompleteHistoryForKeysGainedFromARemovedGuard() {
        state.recordStoreRead(Optional.empty());
        state.adopt(new Roster("east", 1, FIVE_GUARDS));
        List<String> without = new ArrayList<>(FIVE_GUARDS);
        without.remove("e");
        Roster next = new Roster("east", 2, without);
        ClaimKey moved = IntStream.range(0, 1_000)
                .mapToObj(index -> ClaimKey.of("ledger", "key" + index))
                .filter(key -> GuardState.guardsOf(next, key).contains("a"))
                .filter(key -> !GuardState.guardsOf(new Roster("east", 1, FIVE_GUARDS), key)
                        .contains("a"))
                .findFirst()
                .orElseThrow();
        state.adopt(next);
        assertFalse(state.hasCompleteHistory(moved));
        recordAnswers(2, "b", "c");
        clock.advance(TIMING.retentionMs());
        assertTrue(state.hasCompleteHistory(moved));
    }

    @Test
    void hasIncompleteHistoryAsTheOnlyGuardLeftOfThree() {
        state.recordStoreRead(Optional.empty());
        state.adopt(new Roster("east", 1, List.of("a", "b", "c")));
        recordAnswers(1, "b", "c");
        clock.advance(TIMING.retentionMs());
        state.adopt(new Roster("east", 2, List.of("a", "b")));
        recordAnswers(2, "b");
        assertTrue(state.hasCompleteHistory(KEY));
        state.adopt(new Roster("east", 3, List.of("a")));
        assertFalse(state.hasCompleteHistory(KEY));
        clock.advance(TIMING.retentionMs());
        assertTrue(state.hasCompleteHistory(KEY));
    }

    @Test
    void hasIncompleteHistoryAfterMissingAnEpoch() {
        state.recordStoreRead(Optional.empty());
        state.adopt(new Roster("east", 1, List.of("a", "b", "c")));
        state.adopt(new Roster("east", 3, List.of("a", "b", "c")));
        assertFalse(state.hasCompleteHistory(KEY));
    }

    @Test
    void hasReachableMajorityOnlyWhileAMajorityAnswersAtTheSameEpoch() {
        state.recordStoreRead(Optional.empty());
        state.adopt(new Roster("east", 1, FIVE_GUARDS));
        recordAnswers(1, "b");
        assertFalse(state.hasReachableMajority());
        recordAnswers(2, "c");
        assertFalse(state.hasReachableMajority());
        recordAnswers(1, "d");
        assertTrue(state.hasReachableMajority());
        clock.advance(TIMING.fenceMs() + 1);
        assertFalse(state.hasReachableMajority());
    }

    @Test
    void countsAnAnswerFromTheTimeItsHeartbeatWasSent() {
        state.recordStoreRead(Optional.empty());
        state.adopt(new Roster("east", 1, List.of("a", "b", "c")));
        long sentMs = clock.nowMs();
        clock.advance(TIMING.fenceMs() + 1);
        state.recordAnswer("b", 1, sentMs);
        assertFalse(state.hasReachableMajority());
    }

    @Test
    void isNotConfirmedAfterARestartUntilAMajorityConfirmsTheEpoch() {
        state.adopt(new Roster("east", 1, FIVE_GUARDS));
        recordAnswers(1, "b", "c", "d");
        assertFalse(state.isStartConfirmed());
        clock.advance(2 * TIMING.fenceMs() + TIMING.heartbeatMs() + 1);
        recordAnswers(1, "b", "c");
        assertFalse(state.isStartConfirmed());
        recordAnswers(1, "d");
        assertTrue(state.isStartConfirmed());
    }

    @Test
    void ignoresARosterOfAnOlderEpoch() {
        state.adopt(new Roster("east", 2, FIVE_GUARDS));
        assertFalse(state.adopt(new Roster("east", 1, FIVE_GUARDS)));
        assertEquals(2, state.epoch());
    }

    private void recordAnswers(final long epoch, final String... guards) {
        for (String guard : guards) {
            state.recordAnswer(guard, epoch, clock.nowMs());
        }
    }

    private GuardState state(final String node) {
        return new GuardState(node, "east", clock, TIMING, ClaimRule.all());
    }
}
