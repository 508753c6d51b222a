package org.sequoiashunt.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.sequoiashunt.time.Clock;

/**
 * Store in memory, for tests and trials, with switches for the faults of a real one.
 *
 * <p>Create one with {@link #of(Clock)}, give it to whatever takes a {@link Store}, and switch faults while it runs:
 * {@link #setAvailable(boolean)} refuses every call before it has an effect, {@link #loseAnswers(int)} reports the next
 * writes as unanswered after they took effect, {@link #expireLeases()} ends all leases early.
 *
 * <p>{@link #watch} never blocks: it returns as if the wait had passed at once. A server that must hold a watch open
 * registers a listener with {@link #addListener(Consumer)}.
 *
 * <p>Thread-safe: all state is guarded by the monitor of this object; listeners are called outside it, on the thread
 * that wrote. Invariants: revisions grow over all keys, and the term of a lease grows each time its holder changes.
 */
public final class MemoryStore implements Store {

    private final Clock clock;
    private final Map<String, StoredValue> values = new TreeMap<>();
    private final Map<String, HeldLease> leases = new HashMap<>();
    private final List<Consumer<String>> listeners = new CopyOnWriteArrayList<>();
    private boolean available = true;
    private int answersToLose;
    private long lastRevision = ABSENT;
    private long reads;
    private long writes;

    private MemoryStore(final Clock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Creates an empty store.
     *
     * @param clock the clock by which leases end, not null.
     * @return a new store, never null.
     */
    public static MemoryStore of(final Clock clock) {
        return new MemoryStore(clock);
    }

    /**
     * Switches an outage on or off.
     *
     * @param newAvailable false if every call is to fail without an effect.
     */
    public synchronized void setAvailable(final boolean newAvailable) {
        available = newAvailable;
    }

    /**
     * Lets the next writes take effect without an answer. Writes refused by a conflict are not counted.
     *
     * @param count how many writes, zero to stop.
     * @throws IllegalArgumentException if the count is negative.
     */
    public synchronized void loseAnswers(final int count) {
        if (count < 0) {
            throw new IllegalArgumentException("count must not be negative: " + count);
        }
        answersToLose = count;
    }

    /** Ends all leases at once, as if their time had passed. */
    public synchronized void expireLeases() {
        leases.replaceAll((name, lease) -> lease.endedAt(clock.nowMs()));
    }

    /**
     * Adds a listener that is told the key of each write.
     *
     * @param listener the listener, not null.
     */
    public void addListener(final Consumer<String> listener) {
        listeners.add(Objects.requireNonNull(listener, "listener"));
    }

    /**
     * Returns how often values were read, listed or watched.
     *
     * @return the number of reads, including refused ones.
     */
    public synchronized long reads() {
        return reads;
    }

    /**
     * Returns how often values or leases were written.
     *
     * @return the number of writes, including refused ones.
     */
    public synchronized long writes() {
        return writes;
    }

    @Override
    public synchronized Optional<StoredValue> read(final String key) throws StoreException {
        Objects.requireNonNull(key, "key");
        admitRead();
        return Optional.ofNullable(values.get(key));
    }

    @Override
    public synchronized List<StoredValue> list(final String prefix) throws StoreException {
        Objects.requireNonNull(prefix, "prefix");
        admitRead();
        List<StoredValue> found = new ArrayList<>(values.values());
        found.removeIf(value -> !value.key().startsWith(prefix));
        return found;
    }

    @Override
    public long compareAndSwap(final String key, final long expectedRevision, final byte[] value)
            throws StoreException {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
        boolean answerLost;
        long revision;
        synchronized (this) {
            admitWrite();
            revision = swap(key, expectedRevision, value);
            answerLost = takeLostAnswer();
        }
        listeners.forEach(listener -> listener.accept(key));
        if (answerLost) {
            throw new StoreException("the store did not answer the write of '" + key + "'", true);
        }
        return revision;
    }

    @Override
    public Optional<StoredValue> watch(final String key, final long knownRevision, final long waitMs)
            throws StoreException {
        if (waitMs < 1) {
            throw new IllegalArgumentException("waitMs must be positive: " + waitMs);
        }
        return read(key).filter(value -> value.revision() != knownRevision);
    }

    @Override
    public synchronized StoredLease acquireLease(final String name, final String holder, final long durationMs)
            throws StoreException {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(holder, "holder");
        if (durationMs < 1) {
            throw new IllegalArgumentException("durationMs must be positive: " + durationMs);
        }
        admitWrite();
        HeldLease lease = leases.getOrDefault(name, HeldLease.NONE).acquire(holder, clock.nowMs(), durationMs);
        leases.put(name, lease);
        if (takeLostAnswer()) {
            throw new StoreException("the store did not answer for the lease '" + name + "'", true);
        }
        return new StoredLease(name, lease.holder, lease.term, lease.endMs - clock.nowMs());
    }

    @Override
    public synchronized void releaseLease(final String name, final String holder) throws StoreException {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(holder, "holder");
        admitWrite();
        HeldLease lease = leases.get(name);
        if (lease != null && lease.holder.equals(holder)) {
            leases.put(name, lease.endedAt(clock.nowMs()));
        }
        if (takeLostAnswer()) {
            throw new StoreException("the store did not answer for the lease '" + name + "'", true);
        }
    }

    private long swap(final String key, final long expectedRevision, final byte[] value) throws StoreException {
        if (value.length > MAXIMUM_VALUE_BYTES) {
            throw new StoreException("the value of '" + key + "' exceeds " + MAXIMUM_VALUE_BYTES + " bytes", false);
        }
        StoredValue present = values.get(key);
        long currentRevision = present == null ? ABSENT : present.revision();
        if (currentRevision != expectedRevision) {
            throw new StoreConflictException(key, currentRevision);
        }
        lastRevision++;
        values.put(key, StoredValue.of(key, lastRevision, value));
        return lastRevision;
    }

    private void admitRead() throws StoreException {
        reads++;
        admit();
    }

    private void admitWrite() throws StoreException {
        writes++;
        admit();
    }

    private void admit() throws StoreException {
        if (!available) {
            throw new StoreException("outage of the store", false);
        }
    }

    private boolean takeLostAnswer() {
        if (answersToLose == 0) {
            return false;
        }
        answersToLose--;
        return true;
    }

    /**
     * Lease with the moment it ends. Immutable and thread-safe.
     *
     * @param holder the latest holder.
     * @param term the term of that holder.
     * @param endMs when the lease ends, in milliseconds of the store's clock.
     */
    private record HeldLease(String holder, long term, long endMs) {

        private static final HeldLease NONE = new HeldLease("", 0, Long.MIN_VALUE);

        private HeldLease acquire(final String candidate, final long nowMs, final long durationMs) {
            boolean same = holder.equals(candidate);
            if (!same && endMs > nowMs) {
                return this;
            }
            return new HeldLease(candidate, same ? term : term + 1, nowMs + durationMs);
        }

        private HeldLease endedAt(final long nowMs) {
            return new HeldLease(holder, term, Math.min(endMs, nowMs));
        }
    }
}
