package org.sequoiashunt.store;

import java.util.List;
import java.util.Optional;

/**
 * Client of the platform's key-value store, with compare-and-swap, leases and watches.
 *
 * <p>Calls block until answered or timed out. Implementations are thread-safe. Keys are paths of
 * {@code [A-Za-z0-9._-]} segments joined by slashes. Values hold at most {@value #MAXIMUM_VALUE_BYTES} bytes. Each call
 * counts towards the platform's rate limits; a waiting watch counts as one call.
 */
public interface Store {

    /** Largest value, in bytes; larger ones are refused by the platform. */
    int MAXIMUM_VALUE_BYTES = 1_048_576;

    /** Revision that {@link #compareAndSwap} takes for a key that must not exist yet. */
    long ABSENT_REVISION = 0;

    /**
     * Reads a value.
     *
     * @param key the key, not null.
     * @return the value, or empty if the key does not exist.
     * @throws StoreException if the store did not answer.
     */
    Optional<StoredValue> read(String key) throws StoreException;

    /**
     * Reads all values whose keys start with a prefix.
     *
     * @param prefix the prefix, not null.
     * @return the values, ordered by key; empty if no key has the prefix.
     * @throws StoreException if the store did not answer.
     */
    List<StoredValue> list(String prefix) throws StoreException;

    /**
     * Writes a value if the key has the expected revision.
     *
     * @param key the key, not null.
     * @param expectedRevision the revision that the key must have, {@link #ABSENT_REVISION} if it must not exist.
     * @param value the bytes to write, not null.
     * @return the new revision, greater than every earlier one of the key.
     * @throws StoreConflictException if the key has another revision; nothing was written.
     * @throws StoreException if the store did not answer; {@link StoreException#mayHaveTakenEffect()} tells whether
     *     the value may have been written.
     */
    long compareAndSwap(String key, long expectedRevision, byte[] value) throws StoreException;

    /**
     * Waits for a key to change.
     *
     * @param key the key, not null.
     * @param knownRevision the revision that the caller last read, {@link #ABSENT_REVISION} for none.
     * @param waitMs the longest wait in milliseconds, positive.
     * @return the value if its revision differs from {@code knownRevision}, or empty if it did not change.
     * @throws StoreException if the store did not answer.
     */
    Optional<StoredValue> watch(String key, long knownRevision, long waitMs) throws StoreException;

    /**
     * Acquires or renews a lease.
     *
     * @param name the name of the lease, not null.
     * @param holder the name of the requester, not null.
     * @param durationMs how long the lease lasts from the moment the store grants it, in milliseconds, positive.
     * @return the current lease, never null; granted if {@link StoredLease#holder()} equals {@code holder}.
     * @throws StoreException if the store did not answer; the lease may have been granted.
     */
    StoredLease acquireLease(String name, String holder, long durationMs) throws StoreException;

    /**
     * Releases a lease. Does nothing if another holder has it.
     *
     * @param name the name of the lease, not null.
     * @param holder the name of the holder that releases it, not null.
     * @throws StoreException if the store did not answer.
     */
    void releaseLease(String name, String holder) throws StoreException;
}
