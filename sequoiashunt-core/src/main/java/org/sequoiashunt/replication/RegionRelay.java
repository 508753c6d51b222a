package org.sequoiashunt.replication;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.sequoiashunt.blackboard.EntryKey;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.membership.NodeIdentity;
import org.sequoiashunt.peer.PeerSender;

/**
 * Replicates with other failure domains while this node is the lead of its own, or the next in order.
 *
 * <p>Within the region each other failure domain's lead gets an offer. To each remote region one lead gets it and
 * passes it on there, so that one copy crosses the link between regions; later rounds turn to other leads of that
 * region, in case the first is down, and cost an offer but no copy. The next in order offers once, later. Several nodes
 * that each consider themselves the lead only cause offers that nobody pulls.
 *
 * <p>Confined to one thread.
 */
final class RegionRelay {

    private static final long[] LEAD_DELAYS_MS = {0, 500, 1_500};
    // Without offers by the second in order, changes crossed only after up to 4,730 ms while a lead was down.
    private static final long[] SECOND_RANK_DELAYS_MS = {2_000};
    private static final long REGION_PERIOD_MS = 2_000;
    private static final long REMOTE_PERIOD_MS = 5_000;

    private final NodeIdentity identity;
    private final PeerSender sender;
    private final PeerSelector peers;
    private final AntiEntropy antiEntropy;
    private final RandomGenerator random;
    private final Map<EntryKey, QueuedChange> queue = new LinkedHashMap<>();
    private long nextRegionMs;
    private long nextRemoteMs;

    RegionRelay(
            final NodeIdentity identity,
            final PeerSender sender,
            final PeerSelector peers,
            final AntiEntropy antiEntropy,
            final RandomGenerator random) {
        this.identity = identity;
        this.sender = sender;
        this.peers = peers;
        this.antiEntropy = antiEntropy;
        this.random = random;
    }

    /** Queues a change, unless this node does not replicate with other failure domains. */
    void enqueue(final EntryStamp stamp, final Origin origin, final long nowMs) {
        boolean crosses = stamp.key().section().scope() == Section.Scope.EVERYWHERE;
        if (crosses && origin.isPassedWithinRegion() && peers.leadRank() < 2) {
            queue.put(stamp.key(), new QueuedChange(stamp, origin, nowMs));
        }
    }

    void advance(final long nowMs) {
        int rank = peers.leadRank();
        if (rank > 1) {
            queue.clear();
            return;
        }
        offerDue(rank == 0 ? LEAD_DELAYS_MS : SECOND_RANK_DELAYS_MS, nowMs);
        if (rank == 0) {
            compare(nowMs);
        }
    }

    private void offerDue(final long[] delaysMs, final long nowMs) {
        Map<Integer, List<QueuedChange>> dueByRound = new LinkedHashMap<>();
        for (QueuedChange queued : queue.values()) {
            if (queued.round < delaysMs.length && nowMs - queued.sinceMs >= delaysMs[queued.round]) {
                dueByRound
                        .computeIfAbsent(queued.round, round -> new ArrayList<>())
                        .add(queued);
                queued.round++;
            }
        }
        queue.values().removeIf(queued -> queued.round >= delaysMs.length);
        dueByRound.forEach(this::offer);
    }

    private void offer(final int round, final List<QueuedChange> due) {
        SortedMap<String, String> domains = peers.otherDomains();
        List<EntryStamp> within = stamps(due, Origin::isPassedWithinRegion);
        domains.forEach((domain, region) -> {
            if (region.equals(identity.region())) {
                send(domain, within);
            }
        });
        List<EntryStamp> across = stamps(due, Origin::isPassedToRegions);
        for (String region : new TreeSet<>(domains.values())) {
            if (!region.equals(identity.region())) {
                List<String> entries = peers.domainsInRelayOrder(region);
                send(entries.get(round % entries.size()), across);
            }
        }
    }

    private void send(final String failureDomain, final List<EntryStamp> stamps) {
        peers.leadOf(failureDomain).ifPresent(lead -> {
            for (List<EntryStamp> chunk : MessageSplitter.split(stamps)) {
                sender.send(lead, new Offer(chunk, identity.address()));
            }
        });
    }

    private void compare(final long nowMs) {
        if (nowMs >= nextRegionMs) {
            nextRegionMs = nowMs + REGION_PERIOD_MS;
            compareWithOne(true);
        }
        if (nowMs >= nextRemoteMs) {
            nextRemoteMs = nowMs + REMOTE_PERIOD_MS;
            compareWithOne(false);
        }
    }

    private void compareWithOne(final boolean sameRegion) {
        List<String> candidates = new ArrayList<>();
        peers.otherDomains().forEach((domain, region) -> {
            if (region.equals(identity.region()) == sameRegion) {
                candidates.add(domain);
            }
        });
        if (!candidates.isEmpty()) {
            String domain = candidates.get(random.nextInt(candidates.size()));
            peers.leadOf(domain).ifPresent(lead -> antiEntropy.compareSections(lead, false));
        }
    }

    private static List<EntryStamp> stamps(final List<QueuedChange> due, final Predicate<Origin> passed) {
        return due.stream()
                .filter(queued -> passed.test(queued.origin))
                .map(queued -> queued.stamp)
                .toList();
    }

    /** Change that waits to be offered. Confined to the thread of its relay. */
    private static final class QueuedChange {

        private final EntryStamp stamp;
        private final Origin origin;
        private final long sinceMs;
        private int round;

        private QueuedChange(final EntryStamp stamp, final Origin origin, final long sinceMs) {
            this.stamp = stamp;
            this.origin = origin;
            this.sinceMs = sinceMs;
        }
    }
}
