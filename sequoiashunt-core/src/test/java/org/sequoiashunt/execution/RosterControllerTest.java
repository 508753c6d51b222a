package org.sequoiashunt.execution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.store.StoreException;
import org.sequoiashunt.time.SteppedClock;

final class RosterControllerTest {

    private static final ClaimTiming TIMING = ClaimTiming.defaults();
    private static final long SEED = 7;

    private final SteppedClock clock = SteppedClock.of(1_000_000);
    private final FakeRosterRegistry registry = new FakeRosterRegistry();
    private final TreeSet<String> alive = new TreeSet<>(List.of("a", "b", "c"));
    private final TreeSet<String> answering = new TreeSet<>(alive);
    private final GuardState state = new GuardState("a", "east", clock, TIMING, ClaimRule.all());
    private final RosterController controller = new RosterController(
            "a", state, registry, () -> List.copyOf(alive), clock, TIMING, 3, ClaimRule.all(), new Random(SEED));

    @Test
    void createsTheFirstRosterWhenTheStoreStaysEmpty() {
        alive.retainAll(List.of("a"));
        run(10_000);
        assertEquals(Optional.of(new Roster("east", 1, List.of("a"))), registry.stored);
    }

    @Test
    void readsTheFirstRosterBackWhenTheAnswerToItsWriteIsLost() {
        alive.retainAll(List.of("a"));
        registry.losesAnswers = true;
        run(10_000);
        registry.losesAnswers = false;
        run(10_000);
        assertEquals(1, state.epoch());
        assertTrue(state.hasCompleteHistory(ClaimKey.of("ledger", "key")));
    }

    @Test
    void replacesAnUnreachableGuardInTwoEpochsAfterTheReplacementDelay() {
        start();
        answering.remove("c");
        alive.remove("c");
        alive.add("d");
        run(TIMING.replaceAfterMs() - 1_000);
        assertEquals(1, registry.stored.orElseThrow().epoch());
        run(5_000);
        assertEquals(new Roster("east", 3, List.of("a", "b", "d")), registry.stored.orElseThrow());
    }

    @Test
    void keepsTheRosterOnTheMinoritySideOfAPartition() {
        start();
        alive.addAll(List.of("d", "e"));
        answering.removeAll(List.of("b", "c"));
        run(3 * TIMING.replaceAfterMs());
        assertEquals(1, registry.stored.orElseThrow().epoch());
    }

    @Test
    void proposesNoFurtherEpochUntilAMajorityHasAdoptedTheLast() {
        start();
        answering.remove("c");
        alive.remove("c");
        alive.add("d");
        highestEpochOfOthers = 1;
        run(2 * TIMING.replaceAfterMs());
        assertEquals(2, registry.stored.orElseThrow().epoch());
    }

    @Test
    void keepsTheRosterWhenTheStoreIsUnavailable() {
        start();
        registry.unavailable = true;
        answering.remove("c");
        run(2 * TIMING.replaceAfterMs());
        assertEquals(1, state.epoch());
        assertTrue(state.hasReachableMajority());
    }

    @Test
    void removesTheUnreachableGuardOfTwo() {
        registry.stored = Optional.of(new Roster("east", 1, List.of("a", "b")));
        alive.retainAll(List.of("a", "b"));
        run(2_000);
        answering.remove("b");
        alive.remove("b");
        run(TIMING.replaceAfterMs() + 2_000);
        assertEquals(new Roster("east", 2, List.of("a")), registry.stored.orElseThrow());
        assertTrue(state.hasReachableMajority());
    }

    private long highestEpochOfOthers = Long.MAX_VALUE;

    private void start() {
        registry.stored = Optional.of(new Roster("east", 1, List.of("a", "b", "c")));
        run(2_000);
    }

    /** Advances the clock while guards answer with this node's epoch, or with the highest epoch that they may adopt. */
    private void run(final long durationMs) {
        for (long elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 500) {
            clock.advance(500);
            state.recordHeartbeatsSent();
            long epoch = Math.min(state.epoch(), highestEpochOfOthers);
            answering.forEach(guard -> state.recordAnswer(guard, epoch, clock.nowMs()));
            if (epoch == state.epoch() && alive.contains("d")) {
                state.recordAnswer("d", epoch, clock.nowMs());
            }
            controller.tick();
        }
    }

    /** Registry in memory that can be unavailable or fail after a write. */
    private static final class FakeRosterRegistry implements RosterRegistry {

        private Optional<Roster> stored = Optional.empty();
        private boolean unavailable;
        private boolean losesAnswers;

        @Override
        public Optional<Roster> read(final String group) throws StoreException {
            failIf(unavailable);
            return stored;
        }

        @Override
        public boolean replace(final Roster roster) throws StoreException {
            failIf(unavailable);
            boolean isNextEpoch = roster.epoch() == stored.map(Roster::epoch).orElse(0L) + 1;
            if (isNextEpoch) {
                stored = Optional.of(roster);
            }
            failIf(losesAnswers);
            return isNextEpoch;
        }

        private static void failIf(final boolean failing) throws StoreException {
            if (failing) {
                throw new StoreException("no answer", true);
            }
        }
    }
}
