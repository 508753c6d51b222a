package org.sequoiashunt.operator;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.sequoiashunt.commit.StoreRetry;
import org.sequoiashunt.store.Store;
import org.sequoiashunt.store.StoreException;
import org.sequoiashunt.store.StoredLease;
import org.sequoiashunt.store.StoredValue;

/**
 * Store that retries failed reads and lists within the retry budget of one command. Writes, watches and leases are
 * passed on without a retry. Confined to one
 * thread.
 */
final class RetryingStore implements Store {

    private final Store store;
    private final StoreRetry retry;

    RetryingStore(final Store store, final StoreRetry retry) {
        this.store = Objects.requireNonNull(store, "store");
        this.retry = Objects.requireNonNull(retry, "retry");
    }

    @Override
    public Optional<StoredValue> read(final String key) throws StoreException {
        return retry.call(() -> store.read(key));
    }

    @Override
    public List<StoredValue> list(final String prefix) throws StoreException {
        return retry.call(() -> store.list(prefix));
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
        return store.acquireLease(name, holder, durationMs);
    }

    @Override
    public void releaseLease(final String name, final String holder) throws StoreException {
        store.releaseLease(name, holder);
    }
}
