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
    void compareAndSwapRequiresExpectedRevision() throws StoreException {
        long first = store.compareAndSwap("a/b", Store.ABSENT_REVISION, VALUE);
        StoreConflictException conflict = assertThrows(
                StoreConflictException.class, () -> store.compareAndSwap("a/b", Store.ABSENT_REVISION, VALUE));
        assertEquals(first, conflict.currentRevision());
        assertFalse(conflict.mayHaveTakenEffect());
        assertTrue(store.compareAndSwap("a/b", first, VALUE) > first);
    }

    @Test
    void writeWithLostAnswerTakesEffect() throws StoreException {
        List<String> written = new ArrayList<>();
        store.addListener(written::add);
        store.loseNextWriteAnswers(1);
        StoreException lost =
                assertThrows(StoreException.class, () -> store.compareAndSwap("a", Store.ABSENT_REVISION, VALUE));
        assertTrue(lost.mayHaveTakenEffect());
        assertEquals(List.of("a"), written);
        assertTrue(store.read("a").isPresent());
        store.compareAndSwap("b", Store.ABSENT_REVISION, VALUE);
    }

    @Test
    void outageRefusesCallsWithoutEffect() throws StoreException {
        store.setAvailable(false);
        StoreException refused =
                assertThrows(StoreException.class, () -> store.compareAndSwap("a", Store.ABSENT_REVISION, VALUE));
        assertFalse(refused.mayHaveTakenEffect());
        assertThrows(StoreException.class, () -> store.read("a"));
        store.setAvailable(true);
        assertTrue(store.read("a").isEmpty());
        assertEquals(2, store.readCount());
        assertEquals(1, store.writeCount());
    }

    @Test
    void valueAboveMaximumSizeIsRefused() {
        byte[] oversized = new byte[Store.MAXIMUM_VALUE_BYTES + 1];
        StoreException refused =
                assertThrows(StoreException.class, () -> store.compareAndSwap("a", Store.ABSENT_REVISION, oversized));
        assertFalse(refused.mayHaveTakenEffect());
    }

    @Test
    void listReturnsValuesWithPrefixOrderedByKey() throws StoreException {
        store.compareAndSwap("p/b", Store.ABSENT_REVISION, VALUE);
        store.compareAndSwap("q/a", Store.ABSENT_REVISION, VALUE);
        store.compareAndSwap("p/a", Store.ABSENT_REVISION, VALUE);
        assertEquals(
                List.of("p/a", "p/b"),
                store.list("p/").stream().map(StoredValue::key).toList());
    }

    @Test
    void watchReturnsOnlyDifferentRevision() throws StoreException {
        assertTrue(store.watch("a", Store.ABSENT_REVISION, 1).isEmpty());
        long revision = store.compareAndSwap("a", Store.ABSENT_REVISION, VALUE);
        assertTrue(store.watch("a", Store.ABSENT_REVISION, 1).isPresent());
        assertTrue(store.watch("a", revision, 1).isEmpty());
    }

    @Test
    void leaseIsRefusedToOthersUntilItEnds() throws StoreException {
        assertEquals(1, store.acquireLease("lead", "node-1", LEASE_MS).term());
        assertEquals("node-1", store.acquireLease("lead", "node-2", LEASE_MS).holder());
        clock.advance(LEASE_MS);
        StoredLease taken = store.acquireLease("lead", "node-2", LEASE_MS);
        assertEquals(new StoredLease("lead", "node-2", 2, LEASE_MS), taken);
        assertEquals("node-2", store.acquireLease("lead", "node-1", LEASE_MS).holder());
    }

    @Test
    void releasedOrExpiredLeaseIsGrantedToAnotherHolder() throws StoreException {
        store.acquireLease("lead", "node-1", LEASE_MS);
        store.releaseLease("lead", "node-2");
        assertEquals("node-1", store.acquireLease("lead", "node-2", LEASE_MS).holder());
        store.releaseLease("lead", "node-1");
        assertEquals("node-2", store.acquireLease("lead", "node-2", LEASE_MS).holder());
        store.expireLeases();
        assertEquals(3, store.acquireLease("lead", "node-1", LEASE_MS).term());
    }
}
