package org.sequoiashunt.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.sequoiashunt.blackboard.BlackboardListener;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.EntryVersion;
import org.sequoiashunt.configuration.ConfigurationHead;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Keeps the latest configuration heads of the blackboard, to send a new one as a difference to an older one. With
 * hundreds of services a head takes many kilobytes, and a change touches one or two of its parts.
 *
 * <p>Thread-safe: guarded by its own monitor, since entries are accepted on any thread.
 */
final class HeadHistory implements BlackboardListener {

    private static final int HEADS_KEPT = 8;

    private final NavigableMap<Long, ConfigurationHead> heads = new TreeMap<>();

    @Override
    public synchronized void entryAccepted(final Entry entry) {
        if (entry.value() instanceof ConfigurationHead head) {
            heads.put(head.version(), head);
            while (heads.size() > HEADS_KEPT) {
                heads.pollFirstEntry();
            }
        }
    }

    /** States a head as a difference to an older one, or empty if the older one is not kept. */
    synchronized Optional<HeadDelta> difference(final Entry entry, final long baseVersion, final NodeAddress replyTo) {
        ConfigurationHead base = heads.get(baseVersion);
        ConfigurationHead head = (ConfigurationHead) entry.value();
        if (base == null || head.version() <= baseVersion) {
            return Optional.empty();
        }
        SortedMap<String, String> changed = new TreeMap<>();
        for (Map.Entry<String, String> part : head.parts().entrySet()) {
            if (!part.getValue().equals(base.parts().get(part.getKey()))) {
                changed.put(part.getKey(), part.getValue());
            }
        }
        List<String> removed = new ArrayList<>(base.parts().keySet());
        removed.removeAll(head.parts().keySet());
        return Optional.of(new HeadDelta(
                baseVersion,
                head.version(),
                head.commitId(),
                changed,
                removed,
                head.groups(),
                entry.writer(),
                replyTo));
    }

    /** Applies a difference, or returns empty if its base head is not kept. */
    synchronized Optional<Entry> apply(final HeadDelta delta) {
        ConfigurationHead base = heads.get(delta.baseVersion());
        if (base == null) {
            return Optional.empty();
        }
        SortedMap<String, String> parts = new TreeMap<>(base.parts());
        delta.removedServices().forEach(parts::remove);
        parts.putAll(delta.changedParts());
        ConfigurationHead head = new ConfigurationHead(delta.version(), delta.commitId(), parts, delta.groups());
        EntryVersion version = EntryVersion.of(delta.version(), 0);
        return Optional.of(Entry.of(ConfigurationHead.NAME, delta.writer(), version, head));
    }
}
