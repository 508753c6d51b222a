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
    private final FakeRegister register = new FakeRegister();
    private final TreeSet<String> alive = new TreeSet<>(List.of("a", "b", "c"));
    private final TreeSet<String> answering = new TreeSet<>(alive);
    private final GuardState standing = new GuardState("a", "east", clock, TIMING, ClaimRule.all());
    private final RosterController controller = new RosterController(
            "a", standing, register, () -> List.copyOf(alive), clock, TIMING, 3, ClaimRule.all(), new Random(SEED));

    @Test
    void foundsTheFirstRosterWhereTheStoreStaysEmpty() {
        alive.retainAll(List.of("a"));
        run(10_000);
        assertEquals(Optional.of(new Roster("east", 1, List.of("a"))), register.stored);
    }

    @Test
    void readsBackWhatItFoundedWhenTheAnswerIsLost() {
        alive.retainAll(List.of("a"));
        register.loseAnswers = true;
        run(10_000);
        register.loseAnswers = false;
        run(10_000);
        assertEquals(1, standing.epoch());
        assertTrue(standing.isComplete(ClaimKey.of("ledger", "key")));
    }

    @Test
    void replacesAGuardInTwoEpochsOnlyAfterTheWait() {
        start();
        answering.remove("c");
        alive.remove("c");
        alive.add("d");
        run(TIMING.replaceAfterMs() - 1_000);
        assertEquals(1, register.stored.orElseThrow().epoch());
        run(5_000);
        assertEquals(new Roster("east", 3, List.of("a", "b", "d")), register.stored.orElseThrow());
    }

    @Test
    void changesNothingOnAMinoritySide() {
        start();
        alive.addAll(List.of("d", "e"));
        answering.removeAll(List.of("b", "c"));
        run(3 * TIMING.replaceAfterMs());
        assertEquals(1, register.stored.orElseThrow().epoch());
    }

    @Test
    void waitsUntilAMajorityHasAdoptedTheEpoch() {
        start();
        answering.remove("c");
        alive.remove("c");
        alive.add("d");
        adoptedByOthers = 1;
        run(2 * TIMING.replaceAfterMs());
        assertEquals(2, register.stored.orElseThrow().epoch());
    }

    @Test
    void keepsItsRosterWhenTheStoreIsOut() {
        start();
        register.out = true;
        answering.remove("c");
        run(2 * TIMING.replaceAfterMs());
        assertEquals(1, standing.epoch());
        assertTrue(standing.isHeard());
    }

    @Test
    void leavesOneOfTwoToServe() {
        register.stored = Optional.of(new Roster("east", 1, List.of("a", "b")));
        alive.retainAll(List.of("a", "b"));
        run(2_000);
        answering.remove("b");
        alive.remove("b");
        run(TIMING.replaceAfterMs() + 2_000);
        assertEquals(new Roster("east", 2, List.of("a")), register.stored.orElseThrow());
        assertTrue(standing.isHeard());
    }

    private long adoptedByOthers = Long.MAX_VALUE;

    private void start() {
        register.stored = Optional.of(new Roster("east", 1, List.of("a", "b", "c")));
        run(2_000);
    }

    /** Lets time pass while the guards that answer do so at this node's epoch, or at the last one they adopted. */
    private void run(final long durationMs) {
        for (long passedMs = 0; passedMs < durationMs; passedMs += 500) {
            clock.advance(500);
            standing.asking();
            long epoch = Math.min(standing.epoch(), adoptedByOthers);
            answering.forEach(guard -> standing.answered(guard, epoch, clock.nowMs()));
            if (epoch == standing.epoch() && alive.contains("d")) {
                standing.answered("d", epoch, clock.nowMs());
            }
            controller.tick();
        }
    }

    /** Register in memory that can be out and lose answers. */
    private static final class FakeRegister implements RosterRegistry {

        private Optional<Roster> stored = Optional.empty();
        private boolean out;
        private boolean loseAnswers;

        @Override
        public Optional<Roster> read(final String group) throws StoreException {
            check(out);
            return stored;
        }

        @Override
        public boolean replace(final Roster roster) throws StoreException {
            check(out);
            boolean fits = roster.epoch() == stored.map(Roster::epoch).orElse(0L) + 1;
            if (fits) {
                stored = Optional.of(roster);
            }
            check(loseAnswers);
            return fits;
        }

        private static void check(final boolean failing) throws StoreException {
            if (failing) {
                throw new StoreException("no answer", true);
            }
        }
    }
}
