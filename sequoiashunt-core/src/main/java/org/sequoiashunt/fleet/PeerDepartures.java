package org.sequoiashunt.fleet;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.sequoiashunt.target.TargetDeparture;
import org.sequoiashunt.time.Clock;

/**
 * Departures of other nodes' targets, kept for these nodes in case they restart while the platform's store is not
 * available.
 *
 * <p>Thread-safe: guarded by its own monitor. Invariants: an entry is kept for at most {@link #RETENTION_MS}; at most
 * {@link #MAXIMUM_ENTRIES} are kept, the oldest are removed first.
 */
public final class PeerDepartures {

    /** Announcements of a target that has left arrive seconds late; a node that has ended restarts within seconds. */
    static final long RETENTION_MS = 120_000;

    static final int MAXIMUM_ENTRIES = 4_096;

    private final Clock clock;
    private final Map<Key, Long> addedMs = new LinkedHashMap<>();

    /**
     * Creates an empty object.
     *
     * @param clock the clock, not null.
     */
    public PeerDepartures(final Clock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Adds departures of a node's targets.
     *
     * @param node the name of the node, not null.
     * @param departures the departures, not null.
     */
    public synchronized void add(final String node, final List<TargetDeparture> departures) {
        removeExpired();
        for (TargetDeparture departure : departures) {
            Key key = new Key(node, departure);
            addedMs.remove(key);
            addedMs.put(key, clock.nowMs());
        }
        Iterator<Key> oldest = addedMs.keySet().iterator();
        while (addedMs.size() > MAXIMUM_ENTRIES) {
            oldest.next();
            oldest.remove();
        }
    }

    /**
     * Lists the departures of a node's targets.
     *
     * @param node the name of the node, not null.
     * @return the departures, never null.
     */
    public synchronized List<TargetDeparture> of(final String node) {
        removeExpired();
        List<TargetDeparture> departures = new ArrayList<>();
        for (Key key : addedMs.keySet()) {
            if (key.node().equals(node)) {
                departures.add(key.departure());
            }
        }
        return departures;
    }

    private void removeExpired() {
        long oldestMs = clock.nowMs() - RETENTION_MS;
        addedMs.values().removeIf(added -> added < oldestMs);
    }

    /** A departure and the node of its target. Immutable and thread-safe. */
    private record Key(String node, TargetDeparture departure) {}
}
