package org.sequoiashunt.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.time.SteppedClock;

final class MemoryStoreTest {

    private static final byte[] VALUE = {1, 2, 3};
    private static final long LEASE_MS = 1_000;

    private final SteppedClock clock = SteppedClock.of(50_000);
    private final MemoryStore store = MemoryStore.of(clock);

    @Test
    void writesOnlyOverTheExpectedRevision() throws StoreException {
        long first = store.compareAndSwap("a/b", Store.ABSENT, VALUE);
        StoreConflictException conflict =
                assertThrows(StoreConflictException.class, () -> store.compareAndSwap("a/b", Store.ABSENT, VALUE));
        assertEquals(first, conflict.currentRevision());
        assertFalse(conflict.mayHaveTakenEffect());
        assertTrue(store.compareAndSwap("a/b", first, VALUE) > first);
    }

    @Test
    void loserOfLostAnswerFindsTheWriteInEffect() throws StoreException {
        List<String> written = new ArrayList<>();
        store.addListener(written::add);
        store.loseAnswers(1);
        StoreException lost = assertThrows(StoreException.class, () -> store.compareAndSwap("a", Store.ABSENT, VALUE));
        assertTrue(lost.mayHaveTakenEffect());
        assertEquals(List.of("a"), written);
        assertTrue(store.read("a").isPresent());
        store.compareAndSwap("b", Store.ABSENT, VALUE);
    }

    @Test
    void outageRefusesWithoutEffect() throws StoreException {
        store.setAvailable(false);
        StoreException refused =
                assertThrows(StoreException.class, () -> store.compareAndSwap("a", Store.ABSENT, VALUE));
        assertFalse(refused.mayHaveTakenEffect());
        assertThrows(StoreException.class, () -> store.read("a"));
        store.setAvailable(true);
        assertTrue(store.read("a").isEmpty());
        assertEquals(2, store.reads());
        assertEquals(1, store.writes());
    }

    @Test
    void oversizedValueIsRefused() {
        byte[] oversized = new byte[Store.MAXIMUM_VALUE_BYTES + 1];
        StoreException refused =
                assertThrows(StoreException.class, () -> store.compareAndSwap("a", Store.ABSENT, oversized));
        assertFalse(refused.mayHaveTakenEffect());
    }

    @Test
    void listsByPrefixInOrderOfKeys() throws StoreException {
        store.compareAndSwap("p/b", Store.ABSENT, VALUE);
        store.compareAndSwap("q/a", Store.ABSENT, VALUE);
        store.compareAndSwap("p/a", Store.ABSENT, VALUE);
        assertEquals(
                List.of("p/a", "p/b"),
                store.list("p/").stream().map(StoredValue::key).toList());
    }

    @Test
    void watchTellsOnlyOfOtherRevisions() throws StoreException {
        assertTrue(store.watch("a", Store.ABSENT, 1).isEmpty());
        long revision = store.compareAndSwap("a", Store.ABSENT, VALUE);
        assertTrue(store.watch("a", Store.ABSENT, 1).isPresent());
        assertTrue(store.watch("a", revision, 1).isEmpty());
    }

    @Test
    void leaseStaysWithItsHolderUntilItEnds() throws StoreException {
        assertEquals(1, store.acquireLease("lead", "node-1", LEASE_MS).term());
        assertEquals("node-1", store.acquireLease("lead", "node-2", LEASE_MS).holder());
        clock.advance(LEASE_MS);
        StoredLease taken = store.acquireLease("lead", "node-2", LEASE_MS);
        assertEquals(new StoredLease("lead", "node-2", 2, LEASE_MS), taken);
        assertEquals("node-2", store.acquireLease("lead", "node-1", LEASE_MS).holder());
    }

    @Test
    void releasedOrExpiredLeasePassesOn() throws StoreException {
        store.acquireLease("lead", "node-1", LEASE_MS);
        store.releaseLease("lead", "node-2");
        assertEquals("node-1", store.acquireLease("lead", "node-2", LEASE_MS).holder());
        store.releaseLease("lead", "node-1");
        assertEquals("node-2", store.acquireLease("lead", "node-2", LEASE_MS).holder());
        store.expireLeases();
        assertEquals(3, store.acquireLease("lead", "node-1", LEASE_MS).term());
    }
}
