package org.sequoiashunt.commit;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.execution.Roster;
import org.sequoiashunt.membership.DomainSummary;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.rollout.RolloutProgress;
import org.sequoiashunt.rollout.Stage;
import org.sequoiashunt.store.MemoryStore;
import org.sequoiashunt.store.Store;
import org.sequoiashunt.store.StoreException;
import org.sequoiashunt.store.StoreKeys;
import org.sequoiashunt.time.SteppedClock;

final class StoredRegistriesTest {

    private static final byte[] UNREADABLE = {'{', '}'};

    private final SteppedClock clock = SteppedClock.of(1_000_000);
    private final MemoryStore store = MemoryStore.of(clock);
    private final StoredMoveRegistry moves = StoredMoveRegistry.of(store, clock);
    private final StoredRosterRegistry rosters = StoredRosterRegistry.of(store);
    private final StoredDomainRegistry domains = StoredDomainRegistry.of(store);

    @Test
    void olderProgressIsIgnoredAndSealedStageIsFinal() throws StoreException {
        assertTrue(moves.read("move").isEmpty());
        RolloutProgress five = progress(Stage.SHIFTING, 50_000);
        assertEquals(five, moves.write(five));
        assertEquals(five, moves.write(progress(Stage.SHIFTING, 10_000)));
        RolloutProgress takenBack = progress(Stage.TAKEN_BACK, 0);
        assertEquals(takenBack, moves.write(takenBack));
        assertEquals(takenBack, moves.write(progress(Stage.WATCHING, 1_000_000)));
        RolloutProgress sealed = progress(Stage.SEALED_DONE, 1_000_000);
        assertEquals(sealed, moves.write(sealed));
        assertEquals(sealed, moves.write(progress(Stage.SEALED_TAKEN_BACK, 0)));
        assertEquals(Optional.of(sealed), moves.read("move"));
    }

    @Test
    void historyKeepsFirstAndNewestStepsWithinLimit() throws StoreException {
        for (int share = 1; share <= 2 * MoveHistory.MAXIMUM_STEPS; share++) {
            clock.advance(1);
            moves.write(progress(Stage.SHIFTING, share));
        }
        List<MoveHistory.Step> steps = moves.readHistory("move").orElseThrow().steps();
        assertEquals(MoveHistory.MAXIMUM_STEPS, steps.size());
        assertEquals(new MoveHistory.Step(1_000_001, Stage.SHIFTING, 1, "reason"), steps.get(0));
        assertEquals(2 * MoveHistory.MAXIMUM_STEPS, steps.get(steps.size() - 1).shareParts());
    }

    @Test
    void concurrentProgressIsKeptInHistory() throws StoreException {
        RolloutProgress other = progress(Stage.SHIFTING, 10_000);
        RacingStore racing = new RacingStore(store, 2, () -> moves.write(other));
        RolloutProgress own = progress(Stage.TAKEN_BACK, 0);
        assertEquals(own, StoredMoveRegistry.of(racing, clock).write(own));
        List<MoveHistory.Step> steps = moves.readHistory("move").orElseThrow().steps();
        assertEquals(
                List.of(Stage.SHIFTING, Stage.TAKEN_BACK),
                steps.stream().map(MoveHistory.Step::stage).toList());
    }

    @Test
    void concurrentSealedStageIsKept() throws StoreException {
        RolloutProgress sealed = progress(Stage.SEALED_TAKEN_BACK, 0);
        RacingStore racing = new RacingStore(store, 2, () -> moves.write(sealed));
        assertEquals(sealed, StoredMoveRegistry.of(racing, clock).write(progress(Stage.SEALED_DONE, 1_000_000)));
    }

    @Test
    void rosterIsReplacedOnlyByNextEpoch() throws StoreException {
        Roster first = new Roster("bac-bo", 1, List.of("node-1", "node-2"));
        assertFalse(rosters.replace(new Roster("bac-bo", 2, List.of("node-1"))));
        assertTrue(rosters.replace(first));
        assertFalse(rosters.replace(new Roster("bac-bo", 1, List.of("node-3"))));
        assertEquals(Optional.of(first), rosters.read("bac-bo"));
        Roster second = new Roster("bac-bo", 2, List.of("node-2", "node-3"));
        RacingStore racing = new RacingStore(store, 2, () -> rosters.replace(second));
        assertFalse(StoredRosterRegistry.of(racing).replace(new Roster("bac-bo", 2, List.of("node-9"))));
        assertEquals(Optional.of(second), rosters.read("bac-bo"));
    }

    @Test
    void lostReplyToRosterWriteIsReportedAsPossiblyInEffect() throws StoreException {
        store.loseNextWriteAnswers(1);
        Roster roster = new Roster("bac-bo", 1, List.of("node-1"));
        StoreException lost = assertThrows(StoreException.class, () -> rosters.replace(roster));
        assertTrue(lost.mayHaveTakenEffect());
        assertEquals(Optional.of(roster), rosters.read("bac-bo"));
    }

    @Test
    void slightlyOlderSummaryDoesNotReplaceNewerOne() throws StoreException {
        domains.write(summary("thimi", "node-2", 100_000));
        domains.write(summary("thimi", "node-1", 99_000));
        assertEquals("node-2", domains.read("thimi").orElseThrow().lead());
        domains.write(summary("thimi", "node-3", 101_000));
        domains.write(summary("balaju", "node-4", 1));
        assertEquals(
                List.of("node-4", "node-3"),
                domains.readAll().stream().map(DomainSummary::lead).toList());
    }

    @Test
    void summaryFarAheadOfClockIsReplaced() throws StoreException {
        domains.write(summary("thimi", "node-1", 90_000_000));
        domains.write(summary("thimi", "node-2", 100_000));
        assertEquals("node-2", domains.read("thimi").orElseThrow().lead());
    }

    @Test
    void unreadableValuesAreReportedAndKept() throws StoreException {
        for (String key : List.of(
                StoreKeys.MOVES_PREFIX + "move",
                StoreKeys.ROSTERS_PREFIX + "bac-bo",
                StoreKeys.DOMAINS_PREFIX + "thimi")) {
            store.compareAndSwap(key, Store.ABSENT_REVISION, UNREADABLE);
        }
        assertThrows(UnreadableValueException.class, () -> moves.read("move"));
        assertThrows(UnreadableValueException.class, () -> moves.write(progress(Stage.SEALED_DONE, 0)));
        assertThrows(UnreadableValueException.class, () -> rosters.read("bac-bo"));
        assertThrows(UnreadableValueException.class, () -> rosters.replace(new Roster("bac-bo", 1, List.of("node-1"))));
        assertThrows(UnreadableValueException.class, domains::readAll);
        assertThrows(UnreadableValueException.class, () -> domains.write(summary("thimi", "node-1", 1)));
        assertArrayEquals(
                UNREADABLE,
                store.read(StoreKeys.MOVES_PREFIX + "move").orElseThrow().bytes());
    }

    private static RolloutProgress progress(final Stage stage, final int shareParts) {
        return new RolloutProgress("move", "service", stage, shareParts, "reason");
    }

    private static DomainSummary summary(final String domain, final String lead, final long atMs) {
        NodeAddress contact = new NodeAddress("::1", 9_000);
        return new DomainSummary(domain, "kathmandu", lead, List.of(contact), 3, 1, 2, List.of("refusal"), atMs);
    }
}
