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
 * Store in memory, for tests and trials on a stepped clock. A watch answers at once. Counts calls, and can be down or
 * lose its answers.
 *
 * <p>Thread-safe: guarded by its own monitor.
 */
public final class SimulatedStore implements Store {

    private static final String LAST = "\uffff";

    private final Clock clock;
    private final NavigableMap<String, StoredValue> values = new TreeMap<>();
    private final Map<String, Lease> leases = new HashMap<>();
    private Fault fault = Fault.NONE;
    private long calls;

    /**
     * Creates an empty store.
     *
     * @param clock the clock, not null; leases end by it.
     */
    public SimulatedStore(final Clock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Sets how the store fails from now on.
     *
     * @param next the fault, not null.
     */
    public synchronized void setFault(final Fault next) {
        fault = Objects.requireNonNull(next, "next");
    }

    /**
     * Returns the number of calls so far, also those that failed.
     *
     * @return the number.
     */
    public synchronized long calls() {
        return calls;
    }

    @Override
    public synchronized Optional<StoredValue> read(final String key) throws StoreException {
        begin(false);
        return Optional.ofNullable(values.get(key));
    }

    @Override
    public synchronized List<StoredValue> list(final String prefix) throws StoreException {
        begin(false);
        return new ArrayList<>(values.subMap(prefix, prefix + LAST).values());
    }

    @Override
    public synchronized long compareAndSwap(final String key, final long expectedRevision, final byte[] value)
            throws StoreException {
        begin(true);
        StoredValue present = values.get(key);
        long revision = present == null ? ABSENT : present.revision();
        if (revision != expectedRevision) {
            throw new StoreConflictException(key, revision);
        }
        values.put(key, StoredValue.of(key, revision + 1, value));
        end();
        return revision + 1;
    }

    @Override
    public synchronized Optional<StoredValue> watch(final String key, final long knownRevision, final long waitMs)
            throws StoreException {
        begin(false);
        return Optional.ofNullable(values.get(key)).filter(value -> value.revision() != knownRevision);
    }

    @Override
    public synchronized StoredLease acquireLease(final String name, final String holder, final long durationMs)
            throws StoreException {
        begin(true);
        long nowMs = clock.nowMs();
        Lease present = leases.get(name);
        boolean free = present == null || present.endMs() <= nowMs;
        if (free || present.holder().equals(holder)) {
            boolean passes = present == null || !present.holder().equals(holder);
            long term = present == null ? 1 : present.term() + (passes ? 1 : 0);
            present = new Lease(holder, term, nowMs + durationMs);
            leases.put(name, present);
        }
        end();
        return new StoredLease(name, present.holder(), present.term(), present.endMs() - nowMs);
    }

    @Override
    public synchronized void releaseLease(final String name, final String holder) throws StoreException {
        begin(true);
        Lease present = leases.get(name);
        if (present != null && present.holder().equals(holder)) {
            leases.put(name, new Lease(holder, present.term(), clock.nowMs()));
        }
        end();
    }

    /**
     * Returns who holds the lead's lease of a failure domain. Not counted as a call.
     *
     * @param failureDomain the failure domain, not null.
     * @return the holder, or empty if the lease has ended.
     */
    public synchronized Optional<String> lead(final String failureDomain) {
        return Optional.ofNullable(leases.get(StoreKeys.leadLease(failureDomain)))
                .filter(lease -> lease.endMs() > clock.nowMs())
                .map(Lease::holder);
    }

    /** Counts a call that another stand-in answers from the same store. Fails like every other call. */
    synchronized void begin(final boolean writes) throws StoreException {
        calls++;
        check(writes);
    }

    /** Fails like a call but does not count. */
    synchronized void check(final boolean writes) throws StoreException {
        if (fault == Fault.DOWN) {
            throw new StoreException("the store does not answer", writes);
        }
    }

    private void end() throws StoreException {
        if (fault == Fault.ANSWERS_LOST) {
            throw new StoreException("the answer was lost", true);
        }
    }

    /** How the store fails. Immutable and thread-safe. */
    public enum Fault {
        /** Not at all. */
        NONE,
        /** No call takes effect or is answered. */
        DOWN,
        /** Writes take effect and are not answered. */
        ANSWERS_LOST
    }

    /** Lease with its end. Immutable and thread-safe. */
    private record Lease(String holder, long term, long endMs) {}
}
