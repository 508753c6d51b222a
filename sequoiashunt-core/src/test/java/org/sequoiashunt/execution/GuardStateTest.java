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
    private static final List<String> FIRST = List.of("a", "b", "c", "d", "e");
    private static final ClaimKey KEY = ClaimKey.of("ledger", "key");

    private final SteppedClock clock = SteppedClock.of(1_000_000);
    private final GuardState standing = standing("a");

    @Test
    void completesAtOnceWhereTheStoreWasSeenEmpty() {
        standing.storeRead(Optional.empty());
        standing.adopt(new Roster("east", 1, List.of("a", "b", "c")));
        assertTrue(standing.isComplete(KEY));
    }

    @Test
    void completesAfterTheWindowWhereTheFirstEpochWasFound() {
        standing.storeRead(Optional.of(new Roster("east", 1, List.of("a", "b", "c"))));
        hear(1, "b");
        assertFalse(standing.isComplete(KEY));
        clock.advance(TIMING.retentionMs() - 1);
        assertFalse(standing.isComplete(KEY));
        clock.advance(1);
        assertTrue(standing.isComplete(KEY));
    }

    @Test
    void doesNotTakeALaterEmptyStoreForItsBeginning() {
        standing.storeRead(Optional.of(new Roster("east", 1, List.of("a", "b", "c"))));
        standing.storeRead(Optional.empty());
        assertFalse(standing.isComplete(KEY));
    }

    @Test
    void isIncompleteForKeysThatAReplacementBroughtIt() {
        standing.storeRead(Optional.empty());
        standing.adopt(new Roster("east", 1, FIRST));
        List<String> without = new ArrayList<>(FIRST);
        without.remove("e");
        Roster next = new Roster("east", 2, without);
        ClaimKey moved = IntStream.range(0, 1_000)
                .mapToObj(index -> ClaimKey.of("ledger", "key" + index))
                .filter(key -> GuardState.guardsOf(next, key).contains("a"))
                .filter(key ->
                        !GuardState.guardsOf(new Roster("east", 1, FIRST), key).contains("a"))
                .findFirst()
                .orElseThrow();
        standing.adopt(next);
        assertFalse(standing.isComplete(moved));
        hear(2, "b", "c");
        clock.advance(TIMING.retentionMs());
        assertTrue(standing.isComplete(moved));
    }

    @Test
    void isIncompleteAloneAfterItsRosterShrankFromThree() {
        standing.storeRead(Optional.empty());
        standing.adopt(new Roster("east", 1, List.of("a", "b", "c")));
        hear(1, "b", "c");
        clock.advance(TIMING.retentionMs());
        standing.adopt(new Roster("east", 2, List.of("a", "b")));
        hear(2, "b");
        assertTrue(standing.isComplete(KEY));
        standing.adopt(new Roster("east", 3, List.of("a")));
        assertFalse(standing.isComplete(KEY));
        clock.advance(TIMING.retentionMs());
        assertTrue(standing.isComplete(KEY));
    }

    @Test
    void forgetsItsHistoryWhenItMissedAnEpoch() {
        standing.storeRead(Optional.empty());
        standing.adopt(new Roster("east", 1, List.of("a", "b", "c")));
        standing.adopt(new Roster("east", 3, List.of("a", "b", "c")));
        assertFalse(standing.isComplete(KEY));
    }

    @Test
    void isHeardOnlyWhileAMajorityAnswersAtItsEpoch() {
        standing.storeRead(Optional.empty());
        standing.adopt(new Roster("east", 1, FIRST));
        hear(1, "b");
        assertFalse(standing.isHeard());
        hear(2, "c");
        assertFalse(standing.isHeard());
        hear(1, "d");
        assertTrue(standing.isHeard());
        clock.advance(TIMING.fenceMs() + 1);
        assertFalse(standing.isHeard());
    }

    @Test
    void countsAnAnswerFromTheTimeItWasAskedFor() {
        standing.storeRead(Optional.empty());
        standing.adopt(new Roster("east", 1, List.of("a", "b", "c")));
        long askedMs = clock.nowMs();
        clock.advance(TIMING.fenceMs() + 1);
        standing.answered("b", 1, askedMs);
        assertFalse(standing.isHeard());
    }

    @Test
    void takesNoPartAfterARestartUntilTheEpochIsConfirmed() {
        standing.adopt(new Roster("east", 1, FIRST));
        hear(1, "b", "c", "d");
        assertFalse(standing.isConfirmed());
        clock.advance(2 * TIMING.fenceMs() + TIMING.heartbeatMs() + 1);
        hear(1, "b", "c");
        assertFalse(standing.isConfirmed());
        hear(1, "d");
        assertTrue(standing.isConfirmed());
    }

    @Test
    void neverGoesBackToAnOlderEpoch() {
        standing.adopt(new Roster("east", 2, FIRST));
        assertFalse(standing.adopt(new Roster("east", 1, FIRST)));
        assertEquals(2, standing.epoch());
    }

    private void hear(final long epoch, final String... guards) {
        for (String guard : guards) {
            standing.answered(guard, epoch, clock.nowMs());
        }
    }

    private GuardState standing(final String node) {
        return new GuardState(node, "east", clock, TIMING, ClaimRule.all());
    }
}
