package org.sequoiashunt.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.sequoiashunt.time.Clock;

/**
 * Holds the latest reports of the other nodes, and the addresses of nodes that others have reported.
 *
 * <p>The nodes of a failure domain report to each other directly; the reports of other domains arrive through relays,
 * with a delay. A node that cannot reach some nodes, or the platform, still has the reports of the nodes that it can
 * reach. A node without a recent report gets no requests.
 *
 * <p>Thread-safe: guarded by its own monitor. Invariants: a report never replaces a newer one of the same node; the
 * number of nodes is bounded.
 */
public final class FleetView {

    /** Silence after which a node gets no requests: three missed reports, and the time to replace a link. */
    public static final long LIVENESS_TIMEOUT_MS = 2_300;

    /**
     * Age above which a relayed report counts as silence of its node: the node's report period, the periods of two
     * relays, and one lost batch.
     */
    public static final long RELAYED_LIVENESS_TIMEOUT_MS = 5_000;

    /** Time without a report after which a node is neither reported to other nodes nor receives reports. */
    static final long RETENTION_MS = 20_000;

    /** Largest number of nodes with a report, and of nodes with only a known address. */
    private static final int MAXIMUM_NODES = 8_192;

    /** Replaced incarnations kept for each node: late reports come from the last few. */
    private static final int MAXIMUM_REPLACED_INCARNATIONS = 8;

    private final Clock clock;
    private final Map<String, ReceivedReport> reportsByNode = new HashMap<>();
    /** The same reports by the services of their targets: a call needs only the nodes of one. */
    private final Map<String, Map<String, ReceivedReport>> reportsByService = new HashMap<>();
    /** The relayed report of each failure domain that was received last. */
    private final Map<String, ReceivedReport> latestRelayed = new HashMap<>();

    private final Map<String, Contact> contactsByNode = new HashMap<>();
    private final Map<String, Set<Long>> replacedIncarnations = new HashMap<>();

    /**
     * Creates an empty view.
     *
     * @param clock the clock, not null.
     */
    public FleetView(final Clock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Stores a report that its node has sent, unless it is outdated, and adds the nodes that it names.
     *
     * @param report the report, not null.
     * @return how the view changed, never null.
     */
    public Change accept(final NodeReport report) {
        return accept(report, 0, false);
    }

    /**
     * Stores a report that a relay has passed on, unless it is outdated.
     *
     * @param relayed the report and its age, not null.
     * @return how the view changed, never null.
     */
    public Change acceptRelayed(final ReportBatch.RelayedReport relayed) {
        return accept(relayed.report(), relayed.ageMs(), true);
    }

    private synchronized Change accept(final NodeReport report, final long ageMs, final boolean relayed) {
        long nowMs = clock.nowMs();
        ReceivedReport received = new ReceivedReport(report, nowMs - ageMs, relayed);
        ReceivedReport previous = reportsByNode.get(report.node());
        if (previous != null && isOutdated(received, previous, nowMs)) {
            return Change.OUTDATED;
        }
        if (previous == null && reportsByNode.size() >= MAXIMUM_NODES) {
            return Change.OUTDATED;
        }
        boolean regained = previous == null
                || previous.report().incarnation() != report.incarnation()
                || nowMs - previous.receivedAtMs() > previous.livenessTimeoutMs();
        reportsByNode.put(report.node(), received);
        updateIndexes(previous, received);
        report.knownNodes().forEach(this::addKnownNode);
        return regained ? Change.REGAINED : Change.REFRESHED;
    }

    /**
     * Returns whether a report is older than the previous one. Incarnations have no order, since the time of day may
     * jump. The node itself reports its latest incarnation, so an earlier one is recorded as replaced and always
     * outdated from then on. A relay may have been suspended with the reports of an earlier incarnation, so a relayed
     * report changes the incarnation only if the known one has fallen silent, and records nothing.
     */
    private boolean isOutdated(final ReceivedReport received, final ReceivedReport previous, final long nowMs) {
        NodeReport report = received.report();
        if (report.incarnation() == previous.report().incarnation()) {
            return report.sequence() <= previous.report().sequence();
        }
        Set<Long> replaced = replacedIncarnations.computeIfAbsent(report.node(), unused -> new LinkedHashSet<>());
        if (replaced.contains(report.incarnation())) {
            return true;
        }
        if (received.relayed()) {
            return nowMs - previous.receivedAtMs() <= LIVENESS_TIMEOUT_MS;
        }
        if (replaced.size() >= MAXIMUM_REPLACED_INCARNATIONS) {
            replaced.remove(replaced.iterator().next());
        }
        replaced.add(previous.report().incarnation());
        return false;
    }

    /**
     * Stores the address of a node if it is new or has changed. Ignored if the view is full.
     *
     * @param node the name and address of the node, not null.
     */
    public synchronized void addKnownNode(final KnownNode node) {
        Contact contact = contactsByNode.get(node.node());
        boolean addressChanged = contact != null && !contact.node().address().equals(node.address());
        if ((contact == null || addressChanged) && contactsByNode.size() < MAXIMUM_NODES) {
            contactsByNode.put(node.node(), new Contact(node, clock.nowMs()));
        }
    }

    /**
     * Lists the reports of live nodes: those received directly within {@link #LIVENESS_TIMEOUT_MS}, and the relayed
     * ones that are younger than {@link #RELAYED_LIVENESS_TIMEOUT_MS} and not older by {@link #LIVENESS_TIMEOUT_MS}
     * than the latest one of their failure domain. The latter shows that the domain's relays have heard from other
     * nodes, but no longer from this one.
     *
     * @return the latest report of each live node with its time of receipt, never null.
     */
    public synchronized List<ReceivedReport> liveReports() {
        return live(reportsByNode.values());
    }

    /**
     * Lists the reports of live nodes with a target of a service, see {@link #liveReports()}.
     *
     * @param service the service, not null.
     * @return the latest report of each of these nodes with its time of receipt, never null.
     */
    public synchronized List<ReceivedReport> liveReports(final String service) {
        return live(reportsByService.getOrDefault(service, Map.of()).values());
    }

    private List<ReceivedReport> live(final Collection<ReceivedReport> reports) {
        long nowMs = clock.nowMs();
        List<ReceivedReport> live = new ArrayList<>(reports.size());
        for (ReceivedReport received : reports) {
            if (isLive(received, nowMs)) {
                live.add(received);
            }
        }
        return live;
    }

    private boolean isLive(final ReceivedReport received, final long nowMs) {
        if (nowMs - received.receivedAtMs() > received.livenessTimeoutMs()) {
            return false;
        }
        return !received.relayed()
                || latestRelayed.get(received.report().failureDomain()).receivedAtMs() - received.receivedAtMs()
                        <= LIVENESS_TIMEOUT_MS;
    }

    private void updateIndexes(final ReceivedReport previous, final ReceivedReport received) {
        if (previous != null) {
            removeFromServices(previous);
        }
        for (TargetReport target : received.report().targets()) {
            reportsByService
                    .computeIfAbsent(target.service(), unused -> new HashMap<>())
                    .put(received.report().node(), received);
        }
        if (received.relayed()) {
            latestRelayed.merge(received.report().failureDomain(), received, ReceivedReport::later);
        }
        if (previous != null) {
            findLatestRelayedAgain(previous);
        }
    }

    private void removeFromServices(final ReceivedReport removed) {
        for (TargetReport target : removed.report().targets()) {
            Map<String, ReceivedReport> reports = reportsByService.get(target.service());
            if (reports != null) {
                reports.remove(removed.report().node());
                if (reports.isEmpty()) {
                    reportsByService.remove(target.service());
                }
            }
        }
    }

    /** Finds the latest relayed report of a failure domain if it was one that has been removed or replaced. */
    private void findLatestRelayedAgain(final ReceivedReport removed) {
        String domain = removed.report().failureDomain();
        if (latestRelayed.get(domain) == removed) {
            latestRelayed.remove(domain);
            for (ReceivedReport other : reportsByNode.values()) {
                if (other.relayed() && other.report().failureDomain().equals(domain)) {
                    latestRelayed.merge(domain, other, ReceivedReport::later);
                }
            }
        }
    }

    /**
     * Finds the latest report of a node.
     *
     * @param node the name of the node, not null.
     * @return the report, or empty if the view holds none; the node may have become silent since.
     */
    public synchronized Optional<ReceivedReport> findReport(final String node) {
        return Optional.ofNullable(reportsByNode.get(node));
    }

    /**
     * Removes expired nodes and lists the others: those that have reported, and those of which only the address is
     * known.
     *
     * @return the nodes, never null.
     */
    public synchronized Collection<KnownNode> knownNodes() {
        long oldestMs = clock.nowMs() - RETENTION_MS;
        List<ReceivedReport> expired = reportsByNode.values().stream()
                .filter(received -> received.receivedAtMs() < oldestMs)
                .toList();
        expired.forEach(received -> reportsByNode.remove(received.report().node()));
        expired.forEach(this::removeFromServices);
        expired.forEach(this::findLatestRelayedAgain);
        replacedIncarnations.keySet().retainAll(reportsByNode.keySet());
        contactsByNode.values().removeIf(contact -> contact.learnedAtMs() < oldestMs);
        Map<String, KnownNode> nodes = new HashMap<>();
        contactsByNode.forEach((name, contact) -> nodes.put(name, contact.node()));
        for (ReceivedReport received : reportsByNode.values()) {
            nodes.put(received.report().node(), received.report().asKnownNode());
        }
        return nodes.values();
    }

    /** How a report changed the view. Immutable and thread-safe. */
    public enum Change {
        /** The node is new, has restarted, or was silent for longer than the liveness timeout. */
        REGAINED,
        /** The node was live and has reported again. */
        REFRESHED,
        /** The report was late, or the view was full, and the report was not stored. */
        OUTDATED
    }

    /**
     * A node's latest report and when it was received. Immutable and thread-safe.
     *
     * @param report the report.
     * @param receivedAtMs the time at which the first node received the report, in milliseconds of the local clock.
     * @param relayed whether the report was passed on by a relay.
     */
    public record ReceivedReport(NodeReport report, long receivedAtMs, boolean relayed) {

        private ReceivedReport later(final ReceivedReport other) {
            return other.receivedAtMs >= receivedAtMs ? other : this;
        }

        private long livenessTimeoutMs() {
            return relayed ? RELAYED_LIVENESS_TIMEOUT_MS : LIVENESS_TIMEOUT_MS;
        }
    }

    /** A node that others have named and when it was stored. Immutable and thread-safe. */
    private record Contact(KnownNode node, long learnedAtMs) {}
}
