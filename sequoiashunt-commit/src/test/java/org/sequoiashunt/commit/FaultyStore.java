package org.sequoiashunt.commit;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.sequoiashunt.store.Store;
import org.sequoiashunt.store.StoreException;
import org.sequoiashunt.store.StoredLease;
import org.sequoiashunt.store.StoredValue;

/** Store that simulates one kind of fault for a range of calls, counted from 1. Confined to one thread. */
final class FaultyStore implements Store {

    private final Store store;
    private final Fault fault;
    private final int firstCall;
    private final int lastCall;
    private final List<PendingWrite> pending = new ArrayList<>();
    private int calls;

    FaultyStore(final Store store, final Fault fault, final int firstCall, final int lastCall) {
        this.store = store;
        this.fault = fault;
        this.firstCall = firstCall;
        this.lastCall = lastCall;
    }

    int calls() {
        return calls;
    }

    /** Applies the writes that were still on their way to the store when their caller stopped waiting. */
    void applyPendingWrites() {
        for (PendingWrite write : pending) {
            try {
                store.compareAndSwap(write.key, write.expectedRevision, write.value);
            } catch (StoreException exception) {
                // Another write came first; no caller waits for this result.
                continue;
            }
        }
        pending.clear();
    }

    @Override
    public Optional<StoredValue> read(final String key) throws StoreException {
        if (isFaulty() && fault.affectsReads) {
            throw new StoreException("no answer", false);
        }
        return store.read(key);
    }

    @Override
    public long compareAndSwap(final String key, final long expectedRevision, final byte[] value)
            throws StoreException {
        if (!isFaulty()) {
            return store.compareAndSwap(key, expectedRevision, value);
        }
        switch (fault) {
            case DOWN -> throw new StoreException("down", false);
            case ANSWER_LOST -> store.compareAndSwap(key, expectedRevision, value);
            case SLOW -> pending.add(new PendingWrite(key, expectedRevision, value));
            default -> throw new IllegalStateException("no simulation of fault " + fault);
        }
        throw new StoreException("no answer", true);
    }

    private boolean isFaulty() {
        calls++;
        return calls >= firstCall && calls <= lastCall;
    }

    @Override
    public List<StoredValue> list(final String prefix) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Optional<StoredValue> watch(final String key, final long knownRevision, final long waitMs) {
        throw new UnsupportedOperationException();
    }

    @Override
    public StoredLease acquireLease(final String name, final String holder, final long durationMs) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void releaseLease(final String name, final String holder) {
        throw new UnsupportedOperationException();
    }

    /** Kind of fault. */
    enum Fault {
        /** Calls are refused without an effect. */
        DOWN(true),
        /** Writes take effect but are not answered; reads succeed. */
        ANSWER_LOST(false),
        /** Writes are not answered in time and take effect later; reads are not answered. */
        SLOW(true);

        private final boolean affectsReads;

        Fault(final boolean hitsReads) {
            this.affectsReads = hitsReads;
        }
    }

    /** Write whose caller stopped waiting before it took effect. */
    private record PendingWrite(String key, long expectedRevision, byte[] value) {}
}
