package org.sequoiashunt.replication;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sequoiashunt.blackboard.BlackboardListener;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.EntryKey;

/**
 * Changes that this node still offers to its peers: repeatedly, with growing gaps, until several rounds in sequence led
 * to no pull.
 *
 * <p>Thread-safe: guarded by its own monitor, since entries are accepted on any thread.
 */
final class PendingOffers implements BlackboardListener {

    private static final long BASE_GAP_MS = 200;
    // Two left the last of 262 nodes without a change for 7 s at a loss of 20 %, three for 4 s.
    private static final int MAXIMUM_ROUNDS_WITHOUT_PULL = 3;
    private static final int MAXIMUM_ROUNDS = 8;

    private final Map<EntryKey, OfferedChange> changes = new LinkedHashMap<>();

    @Override
    public synchronized void entryAccepted(final Entry entry) {
        if (SectionReplicationRules.isOffered(entry.key().section())) {
            changes.put(entry.key(), new OfferedChange(EntryStamp.of(entry)));
        }
    }

    /** Records where an accepted entry came from, unless a newer one has replaced it. */
    synchronized void setOrigin(final EntryStamp stamp, final Origin origin) {
        OfferedChange change = changes.get(stamp.key());
        if (change != null && change.stamp.equals(stamp)) {
            change.origin = origin;
        }
    }

    /** Restarts the count of rounds without a pull, since other peers may lack the change as well. */
    synchronized void recordPull(final EntryKey key) {
        OfferedChange change = changes.get(key);
        if (change != null) {
            change.roundsWithoutPull = 0;
        }
    }

    /** Returns the changes due, and drops those offered too often, in total or without a pull. */
    synchronized List<DueOffer> due(final long nowMs) {
        changes.values().removeIf(change -> change.nextMs <= nowMs && change.isFinished());
        List<DueOffer> due = new ArrayList<>();
        for (OfferedChange change : changes.values()) {
            if (change.nextMs <= nowMs) {
                due.add(new DueOffer(change.stamp, change.origin, change.offered));
                change.nextMs = nowMs + BASE_GAP_MS * (1 + change.offered);
                change.offered++;
                change.roundsWithoutPull++;
            }
        }
        return due;
    }

    /** A change to offer. Immutable and thread-safe. */
    record DueOffer(EntryStamp stamp, Origin origin, int round) {}

    /** A change with how often it was offered. Guarded by the monitor of its owner. */
    private static final class OfferedChange {

        private final EntryStamp stamp;
        private Origin origin = Origin.OWN_DOMAIN;
        private int offered;
        private int roundsWithoutPull;
        private long nextMs;

        private OfferedChange(final EntryStamp stamp) {
            this.stamp = stamp;
        }

        private boolean isFinished() {
            return roundsWithoutPull >= MAXIMUM_ROUNDS_WITHOUT_PULL || offered >= MAXIMUM_ROUNDS;
        }
    }
}
