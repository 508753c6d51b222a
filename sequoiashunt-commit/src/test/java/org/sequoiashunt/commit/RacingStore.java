package org.sequoiashunt.commit;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.sequoiashunt.store.Store;
import org.sequoiashunt.store.StoreException;
import org.sequoiashunt.store.StoredLease;
import org.sequoiashunt.store.StoredValue;

/** Store that runs a concurrent action right before the call with a given number. Confined to one thread. */
final class RacingStore implements Store {

    private final Store store;
    private final int racedCall;
    private final Callable<?> concurrentAction;
    private int calls;

    RacingStore(final Store store, final int raceCall, final Callable<?> race) {
        this.store = store;
        this.racedCall = raceCall;
        this.concurrentAction = race;
    }

    @Override
    public Optional<StoredValue> read(final String key) throws StoreException {
        countCall();
        return store.read(key);
    }

    @Override
    public long compareAndSwap(final String key, final long expectedRevision, final byte[] value)
            throws StoreException {
        countCall();
        return store.compareAndSwap(key, expectedRevision, value);
    }

    boolean hasRaced() {
        return calls >= racedCall;
    }

    private void countCall() {
        calls++;
        if (calls != racedCall) {
            return;
        }
        try {
            concurrentAction.call();
        } catch (Exception exception) {
            throw new IllegalStateException(exception);
        }
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
}
