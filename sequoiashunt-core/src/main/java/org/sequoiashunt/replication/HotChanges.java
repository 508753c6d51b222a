package org.sequoiashunt.replication;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sequoiashunt.blackboard.BlackboardListener;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.EntryKey;

/**
 * Changes that this node still offers to its peers: each several times, with growing gaps.
 *
 * <p>Thread-safe: guarded by its own monitor, since entries are accepted on any thread.
 */
final class HotChanges implements BlackboardListener {

    private static final long FIRST_GAP_MS = 200;

    private final Map<EntryKey, Hot> changes = new LinkedHashMap<>();

    @Override
    public synchronized void entryAccepted(final Entry entry) {
        if (RangeSections.isOffered(entry.key().section())) {
            changes.put(entry.key(), new Hot(EntryStamp.of(entry)));
        }
    }

    /** Notes from where an entry came that was accepted just now. */
    synchronized void learnedFrom(final EntryStamp stamp, final Origin origin) {
        Hot hot = changes.get(stamp.key());
        if (hot != null && hot.stamp.equals(stamp)) {
            hot.origin = origin;
        }
    }

    /** Returns the changes to offer now, and drops those offered often enough. */
    synchronized List<Due> due(final long nowMs, final int rounds) {
        List<Due> due = new ArrayList<>();
        for (Hot hot : changes.values()) {
            if (hot.nextMs <= nowMs) {
                due.add(new Due(hot.stamp, hot.origin, hot.offered));
                hot.nextMs = nowMs + (FIRST_GAP_MS << hot.offered);
                hot.offered++;
            }
        }
        changes.values().removeIf(hot -> hot.offered >= rounds);
        return due;
    }

    /** A change to offer. Immutable and thread-safe. */
    record Due(EntryStamp stamp, Origin origin, int round) {}

    /** A change with how often it was offered. Guarded by the monitor of its owner. */
    private static final class Hot {

        private final EntryStamp stamp;
        private Origin origin = Origin.OWN_DOMAIN;
        private int offered;
        private long nextMs;

        private Hot(final EntryStamp stamp) {
            this.stamp = stamp;
        }
    }
}
