package org.sequoiashunt.replication;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.EntryKey;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.configuration.ConfigurationHead;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.peer.PeerSender;

/**
 * Holds back a new head of the configuration until all its parts are on the blackboard, and pulls those that are
 * missing: first from the node that delivered the head, which has them all, then from random peers.
 *
 * <p>Confined to one thread. Invariant: a head that came from a peer is merged after all its parts.
 */
final class HeadAssembler {

    private static final long PULL_RETRY_MS = 400;
    private static final long COLLECTION_PERIOD_MS = 60_000;
    private static final EntryKey HEAD = EntryKey.of(Section.CONFIGURATION_HEAD, ConfigurationHead.NAME);

    private final Blackboard blackboard;
    private final PeerSender sender;
    private final NodeAddress ownAddress;
    private final PeerSelector peers;
    private Entry pendingHead;
    private Origin pendingOrigin;
    private NodeAddress source;
    private int pulls;
    private long nextPullMs;
    private long checkedChanges = -1;
    private Set<String> unreferenced = Set.of();
    private long nextCollectionMs;

    HeadAssembler(
            final Blackboard blackboard,
            final PeerSender sender,
            final NodeAddress ownAddress,
            final PeerSelector peers) {
        this.blackboard = blackboard;
        this.sender = sender;
        this.ownAddress = ownAddress;
        this.peers = peers;
    }

    /** Makes a head that a peer delivered the pending one, if it is newer than the present and the pending one. */
    void offer(final Entry head, final NodeAddress deliveredFrom, final Origin origin) {
        if (!isNewer(EntryStamp.of(head))) {
            return;
        }
        pendingHead = head;
        pendingOrigin = origin;
        source = deliveredFrom;
        pulls = 0;
        nextPullMs = 0;
    }

    /** Tells whether a head is newer than the present and the pending one. */
    boolean isNewer(final EntryStamp stamp) {
        Optional<Entry> present = blackboard.find(HEAD);
        boolean newerThanPresent = present.isEmpty() || stamp.isNewerThan(present.get());
        return newerThanPresent && (pendingHead == null || stamp.isNewerThan(pendingHead));
    }

    /** Tells whether the present or the pending head references a part. */
    boolean references(final String digest) {
        return references(pendingHead, digest)
                || references(blackboard.find(HEAD).orElse(null), digest);
    }

    /** Merges the pending head if it is complete, or pulls what is missing. Returns the head that was merged. */
    Optional<MergedHead> advance(final long nowMs) {
        dropOutdatedPending();
        Entry wanted = pendingHead != null ? pendingHead : presentIfChanged();
        if (wanted == null) {
            return Optional.empty();
        }
        List<EntryKey> missing = missing(wanted);
        if (missing.isEmpty()) {
            return complete(wanted);
        }
        if (nowMs >= nextPullMs) {
            pull(missing, nowMs);
        }
        return Optional.empty();
    }

    /** Removes the parts that no head references in two successive checks. */
    void removeUnreferencedParts(final long nowMs) {
        if (nowMs < nextCollectionMs) {
            return;
        }
        nextCollectionMs = nowMs + COLLECTION_PERIOD_MS;
        Set<String> found = new HashSet<>();
        for (Entry part : blackboard.entries(Section.CONFIGURATION_PART)) {
            String digest = part.key().name();
            if (!references(digest) && unreferenced.contains(digest)) {
                blackboard.remove(part.key(), part.version());
            } else if (!references(digest)) {
                found.add(digest);
            }
        }
        unreferenced = found;
    }

    private void dropOutdatedPending() {
        Optional<Entry> present = blackboard.find(HEAD);
        boolean overtaken = pendingHead != null
                && present.isPresent()
                && !EntryStamp.of(pendingHead).isNewerThan(present.get());
        if (overtaken) {
            pendingHead = null;
        }
    }

    private Entry presentIfChanged() {
        long changes = changes();
        return changes == checkedChanges ? null : blackboard.find(HEAD).orElse(null);
    }

    private long changes() {
        return blackboard.changeCount(Section.CONFIGURATION_HEAD) + blackboard.changeCount(Section.CONFIGURATION_PART);
    }

    private Optional<MergedHead> complete(final Entry head) {
        if (pendingHead == null) {
            checkedChanges = changes();
            return Optional.empty();
        }
        Origin origin = pendingOrigin;
        pendingHead = null;
        return blackboard.merge(head) ? Optional.of(new MergedHead(head, origin)) : Optional.empty();
    }

    private void pull(final List<EntryKey> missing, final long nowMs) {
        nextPullMs = nowMs + PULL_RETRY_MS;
        boolean fromSource = source != null && pulls % 2 == 0;
        pulls++;
        Optional<NodeAddress> from =
                fromSource ? Optional.of(source) : peers.inDomain(1).stream().findFirst();
        from.ifPresent(address -> sender.send(address, new Pull(missing, 0, ownAddress)));
    }

    private List<EntryKey> missing(final Entry head) {
        List<EntryKey> missing = new ArrayList<>();
        for (String digest : ((ConfigurationHead) head.value()).parts().values()) {
            EntryKey key = EntryKey.of(Section.CONFIGURATION_PART, digest);
            if (blackboard.find(key).isEmpty()) {
                missing.add(key);
            }
        }
        return missing;
    }

    private static boolean references(final Entry head, final String digest) {
        return head != null && ((ConfigurationHead) head.value()).parts().containsValue(digest);
    }

    /** Head that was merged, with where it came from. Immutable and thread-safe. */
    record MergedHead(Entry head, Origin origin) {}
}
