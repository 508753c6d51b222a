package org.sequoiashunt.replication;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.EntryKey;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.membership.NodeIdentity;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.peer.PeerSender;

/**
 * Compares ranges of the blackboard with a peer, from hashes of whole ranges down to the versions of single entries, so
 * that two equal replicas exchange a few bytes and two different ones little more than the difference.
 *
 * <p>Confined to one thread.
 */
final class AntiEntropy {

    private final NodeIdentity identity;
    private final RangeIndex index;
    private final PeerSender sender;
    private final PeerSelector peers;

    AntiEntropy(
            final NodeIdentity identity,
            final Blackboard blackboard,
            final PeerSender sender,
            final PeerSelector peers) {
        this.identity = identity;
        this.index = new RangeIndex(blackboard);
        this.sender = sender;
        this.peers = peers;
    }

    /** Compares all sections that a node of the same or of another failure domain holds. */
    void compareSections(final NodeAddress peer, final boolean sameDomain) {
        List<RangeDigest> ranges = new ArrayList<>();
        for (Section section : SectionReplicationRules.sharedWith(sameDomain)) {
            ranges.add(new RangeDigest(section, "", index.hash(section, "")));
        }
        sender.send(peer, new RangeDigests(ranges, identity.failureDomain(), identity.address()));
    }

    /** Compares the range of one service. */
    void compareService(final NodeAddress peer, final Section section, final String service) {
        RangeDigest range = new RangeDigest(section, service, index.hash(section, service));
        sender.send(peer, new RangeDigests(List.of(range), identity.failureDomain(), identity.address()));
    }

    void answer(final RangeDigests digests) {
        boolean sameDomain = digests.failureDomain().equals(identity.failureDomain());
        for (RangeDigest range : digests.ranges()) {
            if (holds(range, sameDomain) && index.hash(range.section(), range.service()) != range.hash()) {
                sendDetails(range.section(), range.service(), digests.replyTo());
            }
        }
    }

    void answer(final BucketDigests digests) {
        int count = digests.hashes().size();
        List<Long> own = index.bucketHashes(digests.section(), digests.service(), count);
        List<Integer> different = new ArrayList<>();
        for (int bucket = 0; bucket < count; bucket++) {
            if (!own.get(bucket).equals(digests.hashes().get(bucket))) {
                different.add(bucket);
            }
        }
        sendStamps(digests.section(), digests.service(), count, different, digests.replyTo());
    }

    /** Returns the entries that the sender of the stamps lacks or has in an older version. */
    List<Entry> missingAtSender(final BucketStamps stamps) {
        Map<EntryKey, EntryStamp> theirs = new HashMap<>();
        stamps.stamps().forEach(stamp -> theirs.put(stamp.key(), stamp));
        Set<Integer> buckets = new HashSet<>(stamps.buckets());
        List<Entry> lacked = new ArrayList<>();
        for (Entry entry : index.entries(stamps.section(), stamps.service())) {
            EntryStamp known = theirs.get(entry.key());
            boolean lacks = known == null || EntryStamp.of(entry).isNewerThan(known);
            if (lacks && buckets.contains(RangeIndex.bucket(entry.key().name(), stamps.bucketCount()))) {
                lacked.add(entry);
            }
        }
        return lacked;
    }

    private boolean holds(final RangeDigest range, final boolean sameDomain) {
        return switch (range.section().scope()) {
            case EVERYWHERE -> true;
            case FAILURE_DOMAIN -> sameDomain;
            case SAME_SERVICE -> peers.holds(range.service());
        };
    }

    private void sendDetails(final Section section, final String service, final NodeAddress peer) {
        int count = index.bucketCount(section, service);
        if (count == 1) {
            sendStamps(section, service, 1, List.of(0), peer);
            return;
        }
        List<Long> hashes = index.bucketHashes(section, service, count);
        sender.send(peer, new BucketDigests(section, service, hashes, identity.address()));
    }

    private void sendStamps(
            final Section section,
            final String service,
            final int bucketCount,
            final List<Integer> buckets,
            final NodeAddress peer) {
        Map<Integer, List<EntryStamp>> byBucket = new HashMap<>();
        for (Entry entry : index.entries(section, service)) {
            int bucket = RangeIndex.bucket(entry.key().name(), bucketCount);
            byBucket.computeIfAbsent(bucket, number -> new ArrayList<>()).add(EntryStamp.of(entry));
        }
        List<Integer> chunkBuckets = new ArrayList<>();
        List<EntryStamp> chunkStamps = new ArrayList<>();
        for (int bucket : buckets) {
            chunkBuckets.add(bucket);
            chunkStamps.addAll(byBucket.getOrDefault(bucket, List.of()));
            if (WireSizeEstimator.estimate(chunkStamps) >= MessageSplitter.MAXIMUM_MESSAGE_BYTES / 2) {
                sender.send(peer, stamps(section, service, bucketCount, chunkBuckets, chunkStamps));
                chunkBuckets = new ArrayList<>();
                chunkStamps = new ArrayList<>();
            }
        }
        if (!chunkBuckets.isEmpty()) {
            sender.send(peer, stamps(section, service, bucketCount, chunkBuckets, chunkStamps));
        }
    }

    private BucketStamps stamps(
            final Section section,
            final String service,
            final int bucketCount,
            final List<Integer> buckets,
            final List<EntryStamp> stamps) {
        return new BucketStamps(section, service, bucketCount, buckets, stamps, identity.address());
    }
}
