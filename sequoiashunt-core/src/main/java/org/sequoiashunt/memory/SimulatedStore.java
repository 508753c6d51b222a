package org.sequoiashunt.memory;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import org.sequoiashunt.store.Store;
import org.sequoiashunt.store.StoreConflictException;
import org.sequoiashunt.store.StoreException;
import org.sequoiashunt.store.StoreKeys;
import org.sequoiashunt.store.StoredLease;
import org.sequoiashunt.store.StoredValue;
import org.sequoiashunt.time.Clock;

/**
 * Keeps a store in memory, for tests and trials on a stepped clock. {@link #watch} returns at once. Counts calls, and
 * can simulate an outage or lost answers.
 *
 * <p>Thread-safe: all state is guarded by the monitor of this object.
 */
public final class SimulatedStore implements Store {

    private static final String HIGHEST_CHARACTER = "\uffff";

    private final Clock clock;
    private final NavigableMap<String, StoredValue> values = new TreeMap<>();
    private final Map<String, Lease> leases = new HashMap<>();
    private Fault fault = Fault.NONE;
    private long callCount;

    /**
     * Creates an empty store.
     *
     * @param clock the clock that decides when leases end, not null.
     */
    public SimulatedStore(final Clock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Sets how the following calls fail.
     *
     * @param newFault the fault, not null.
     */
    public synchronized void setFault(final Fault newFault) {
        fault = Objects.requireNonNull(newFault, "newFault");
    }

    /**
     * Returns the number of calls so far.
     *
     * @return the number, including failed calls, zero or more.
     */
    public synchronized long callCount() {
        return callCount;
    }

    @Override
    public synchronized Optional<StoredValue> read(final String key) throws StoreException {
        recordCall(false);
        return Optional.ofNullable(values.get(key));
    }

    @Override
    public synchronized List<StoredValue> list(final String prefix) throws StoreException {
        recordCall(false);
        return new ArrayList<>(values.subMap(prefix, prefix + HIGHEST_CHARACTER).values());
    }

    @Override
    public synchronized long compareAndSwap(final String key, final long expectedRevision, final byte[] value)
            throws StoreException {
        recordCall(true);
        StoredValue current = values.get(key);
        long revision = current == null ? ABSENT_REVISION : current.revision();
        if (revision != expectedRevision) {
            throw new StoreConflictException(key, revision);
        }
        values.put(key, StoredValue.of(key, revision + 1, value));
        checkAnswerNotLost();
        return revision + 1;
    }

    @Override
    public synchronized Optional<StoredValue> watch(final String key, final long knownRevision, final long waitMs)
            throws StoreException {
        recordCall(false);
        return Optional.ofNullable(values.get(key)).filter(value -> value.revision() != knownRevision);
    }

    @Override
    public synchronized StoredLease acquireLease(final String name, final String holder, final long durationMs)
            throws StoreException {
        recordCall(true);
        long nowMs = clock.nowMs();
        Lease current = leases.get(name);
        boolean free = current == null || current.endMs() <= nowMs;
        if (free || current.holder().equals(holder)) {
            boolean holderChanges = current == null || !current.holder().equals(holder);
            long term = current == null ? 1 : current.term() + (holderChanges ? 1 : 0);
            current = new Lease(holder, term, nowMs + durationMs);
            leases.put(name, current);
        }
        checkAnswerNotLost();
        return new StoredLease(name, current.holder(), current.term(), current.endMs() - nowMs);
    }

    @Override
    public synchronized void releaseLease(final String name, final String holder) throws StoreException {
        recordCall(true);
        Lease current = leases.get(name);
        if (current != null && current.holder().equals(holder)) {
            leases.put(name, new Lease(holder, current.term(), clock.nowMs()));
        }
        checkAnswerNotLost();
    }

    /**
     * Returns the holder of the lead lease of a failure domain. Not counted as a call.
     *
     * @param failureDomain the failure domain, not null.
     * @return the name of the holder, or empty if the lease has ended or was never held.
     */
    public synchronized Optional<String> leadHolder(final String failureDomain) {
        return Optional.ofNullable(leases.get(StoreKeys.leadLease(failureDomain)))
                .filter(lease -> lease.endMs() > clock.nowMs())
                .map(Lease::holder);
    }

    /** Counts a call, including those of {@link SimulatedPlatform}, and fails if the store is down. */
    synchronized void recordCall(final boolean isWrite) throws StoreException {
        callCount++;
        checkAvailable(isWrite);
    }

    /** Fails if the store is down, without counting a call. */
    synchronized void checkAvailable(final boolean isWrite) throws StoreException {
        if (fault == Fault.DOWN) {
            throw new StoreException("the simulated store is down", isWrite);
        }
    }

    private void checkAnswerNotLost() throws StoreException {
        if (fault == Fault.ANSWERS_LOST) {
            throw new StoreException("the answer of the simulated store was lost", true);
        }
    }

    /** How the store fails. Immutable and thread-safe. */
    public enum Fault {
        /** Calls do not fail. */
        NONE,
        /** No call takes effect or is answered. */
        DOWN,
        /** Writes take effect but are not answered. */
        ANSWERS_LOST
    }

    /** Holder, term and end of a lease, the end in milliseconds since the epoch. Immutable and thread-safe. */
    private record Lease(String holder, long term, long endMs) {}
}
