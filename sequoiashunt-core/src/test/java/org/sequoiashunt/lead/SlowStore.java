package org.sequoiashunt.lead;

import java.util.List;
import java.util.Optional;
import org.sequoiashunt.memory.SimulatedStore;
import org.sequoiashunt.store.Store;
import org.sequoiashunt.store.StoreException;
import org.sequoiashunt.store.StoredLease;
import org.sequoiashunt.store.StoredValue;
import org.sequoiashunt.time.SteppedClock;

/** Store that advances the clock after granting a lease, as if the answer were slow or the caller were paused. */
final class SlowStore implements Store {

    private final SteppedClock clock;
    private final SimulatedStore store;
    private final long delayMs;

    SlowStore(final SteppedClock clock, final SimulatedStore store, final long delayMs) {
        this.clock = clock;
        this.store = store;
        this.delayMs = delayMs;
    }

    @Override
    public Optional<StoredValue> read(final String key) throws StoreException {
        return store.read(key);
    }

    @Override
    public List<StoredValue> list(final String prefix) throws StoreException {
        return store.list(prefix);
    }

    @Override
    public long compareAndSwap(final String key, final long expectedRevision, final byte[] value)
            throws StoreException {
        return store.compareAndSwap(key, expectedRevision, value);
    }

    @Override
    public Optional<StoredValue> watch(final String key, final long knownRevision, final long waitMs)
            throws StoreException {
        return store.watch(key, knownRevision, waitMs);
    }

    @Override
    public StoredLease acquireLease(final String name, final String holder, final long durationMs)
            throws StoreException {
        StoredLease lease = store.acquireLease(name, holder, durationMs);
        clock.advance(delayMs);
        return lease;
    }

    @Override
    public void releaseLease(final String name, final String holder) throws StoreException {
        store.releaseLease(name, holder);
    }
}
