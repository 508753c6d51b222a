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
 * Store that keeps its values and leases in memory, for tests and trials, with fault injection.
 *
 * <p>Create one with {@link #of(Clock)}, pass it to code that takes a {@link Store}, and inject faults at any time:
 * {@link #setAvailable(boolean)} makes every call fail without an effect, {@link #loseNextWriteAnswers(int)} reports
 * the next writes as unanswered after they took effect, {@link #expireLeases()} ends all leases early.
 *
 * <p>{@link #watch} never blocks: it returns at once, as if the wait had ended. A server that must keep a watch waiting
 * registers a listener with {@link #addListener(Consumer)}.
 *
 * <p>Thread-safe: all state is guarded by the monitor of this object; listeners are called outside it, on the thread
 * that wrote. Invariants: each write gets a revision greater than all earlier ones
 * of any key, and the term of a lease grows each time its holder changes.
 */
public final class MemoryStore implements Store {

    private final Clock clock;
    private final Map<String, StoredValue> values = new TreeMap<>();
    private final Map<String, HeldLease> leases = new HashMap<>();
    private final List<Consumer<String>> listeners = new CopyOnWriteArrayList<>();
    private boolean available = true;
    private int remainingLostAnswers;
    private long lastRevision = ABSENT_REVISION;
    private long readCount;
    private long writeCount;

    private MemoryStore(final Clock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Creates an empty store.
     *
     * @param clock the clock that decides when leases end, not null.
     * @return a new store, never null.
     */
    public static MemoryStore of(final Clock clock) {
        return new MemoryStore(clock);
    }

    /**
     * Switches an outage on or off.
     *
     * @param newAvailable false to make every call fail without an effect, true to end the outage.
     */
    public synchronized void setAvailable(final boolean newAvailable) {
        available = newAvailable;
    }

    /**
     * Makes the next writes take effect without an answer. Writes refused because of a conflict do not count.
     *
     * @param count the number of writes, zero or more; zero ends the fault.
     * @throws IllegalArgumentException if the count is negative.
     */
    public synchronized void loseNextWriteAnswers(final int count) {
        if (count < 0) {
            throw new IllegalArgumentException("count must not be negative: " + count);
        }
        remainingLostAnswers = count;
    }

    /** Ends all leases at once, as if their time had passed. */
    public synchronized void expireLeases() {
        leases.replaceAll((name, lease) -> lease.withEndNoLaterThan(clock.nowMs()));
    }

    /**
     * Adds a listener that is called with the key of each value written.
     *
     * @param listener the listener, not null.
     */
    public void addListener(final Consumer<String> listener) {
        listeners.add(Objects.requireNonNull(listener, "listener"));
    }

    /**
     * Returns how often values were read, listed or watched.
     *
     * @return the number of calls, including refused ones, zero or more.
     */
    public synchronized long readCount() {
        return readCount;
    }

    /**
     * Returns how often values were written, or leases acquired or released.
     *
     * @return the number of calls, including refused ones, zero or more.
     */
    public synchronized long writeCount() {
        return writeCount;
    }

    @Override
    public synchronized Optional<StoredValue> read(final String key) throws StoreException {
        Objects.requireNonNull(key, "key");
        countRead();
        return Optional.ofNullable(values.get(key));
    }

    @Override
    public synchronized List<StoredValue> list(final String prefix) throws StoreException {
        Objects.requireNonNull(prefix, "prefix");
        countRead();
        List<StoredValue> matches = new ArrayList<>(values.values());
        matches.removeIf(value -> !value.key().startsWith(prefix));
        return matches;
    }

    @Override
    public long compareAndSwap(final String key, final long expectedRevision, final byte[] value)
            throws StoreException {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
        boolean answerLost;
        long revision;
        synchronized (this) {
            countWrite();
            revision = swap(key, expectedRevision, value);
            answerLost = consumeLostAnswer();
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
        countWrite();
        HeldLease lease = leases.getOrDefault(name, HeldLease.NONE).acquire(holder, clock.nowMs(), durationMs);
        leases.put(name, lease);
        if (consumeLostAnswer()) {
            throw new StoreException("the store did not answer for the lease '" + name + "'", true);
        }
        return new StoredLease(name, lease.holder, lease.term, lease.endMs - clock.nowMs());
    }

    @Override
    public synchronized void releaseLease(final String name, final String holder) throws StoreException {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(holder, "holder");
        countWrite();
        HeldLease lease = leases.get(name);
        if (lease != null && lease.holder.equals(holder)) {
            leases.put(name, lease.withEndNoLaterThan(clock.nowMs()));
        }
        if (consumeLostAnswer()) {
            throw new StoreException("the store did not answer for the lease '" + name + "'", true);
        }
    }

    private long swap(final String key, final long expectedRevision, final byte[] value) throws StoreException {
        if (value.length > MAXIMUM_VALUE_BYTES) {
            throw new StoreException("the value of '" + key + "' exceeds " + MAXIMUM_VALUE_BYTES + " bytes", false);
        }
        StoredValue current = values.get(key);
        long currentRevision = current == null ? ABSENT_REVISION : current.revision();
        if (currentRevision != expectedRevision) {
            throw new StoreConflictException(key, currentRevision);
        }
        lastRevision++;
        values.put(key, StoredValue.of(key, lastRevision, value));
        return lastRevision;
    }

    private void countRead() throws StoreException {
        readCount++;
        checkAvailable();
    }

    private void countWrite() throws StoreException {
        writeCount++;
        checkAvailable();
    }

    private void checkAvailable() throws StoreException {
        if (!available) {
            throw new StoreException("outage of the store", false);
        }
    }

    private boolean consumeLostAnswer() {
        if (remainingLostAnswers == 0) {
            return false;
        }
        remainingLostAnswers--;
        return true;
    }

    /**
     * Latest holder of a lease and the time at which it ends. Immutable and thread-safe.
     *
     * @param holder the latest holder, empty if the lease was never held.
     * @param term the term of that holder.
     * @param endMs when the lease ends, in milliseconds of the store's clock.
     */
    private record HeldLease(String holder, long term, long endMs) {

        private static final HeldLease NONE = new HeldLease("", 0, Long.MIN_VALUE);

        private HeldLease acquire(final String candidate, final long nowMs, final long durationMs) {
            boolean sameHolder = holder.equals(candidate);
            if (!sameHolder && endMs > nowMs) {
                return this;
            }
            return new HeldLease(candidate, sameHolder ? term : term + 1, nowMs + durationMs);
        }

        private HeldLease withEndNoLaterThan(final long nowMs) {
            return new HeldLease(holder, term, Math.min(endMs, nowMs));
        }
    }
}
