package org.sequoiashunt.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.peer.PeerSender;
import org.sequoiashunt.placement.NodeLocation;
import org.sequoiashunt.time.Clock;

/**
 * Decides which reports a node sends to which other nodes, and when.
 *
 * <p>Each node reports to the nodes of its failure domain. The relays of a domain, see {@link RelaySelection}, send the
 * reports of their domain to a relay of each other domain once per {@link #RELAY_PERIOD_MS}, and pass the reports of
 * other domains on to their own. So a node sends and receives messages in proportion to the size of its domain, and the
 * traffic between domains in proportion to their number and the size of their batches. Changes that matter at once
 * (a node or target appears, leaves or restarts, a newer configuration, a confirmation by the platform's store) are
 * relayed with the next tick.
 *
 * <p>A node whose relays have failed without its noticing gets no reports of other domains; it then asks a node of
 * another domain for them and relays for its own domain itself.
 *
 * <p>Not thread-safe: one thread calls {@link #tick} and {@link #receive}. Only {@link #requestReport} may be called
 * from any thread. Invariant: each relay passes a report on at most once in each direction, except to nodes that have
 * just appeared or ask for it.
 */
public final class ReportExchange {

    /** Time between two reports to the failure domain: older load figures lead to wrong placements. */
    public static final long REPORT_PERIOD_MS = 500;

    /** Time between two batches that a relay sends in each direction. */
    public static final long RELAY_PERIOD_MS = 1_000;

    /** Shortest time from the start to the first batch, in which the nodes of the domain report to each other. */
    private static final long FIRST_RELAY_DELAY_MS = 500;

    /** Age of the latest relayed report above which a node takes its relays for failed. */
    static final long STALE_RELAYED_REPORTS_MS = 3_000;

    /** Age of a node's confirmation by the store below which the node watches it. */
    private static final long RECENT_CONFIRMATION_MS = 1_000;

    /** Most nodes listed in a report: all nodes learn of all others within a few reports. */
    private static final int MAXIMUM_KNOWN_NODES_PER_REPORT = 3;

    /** Every report whose sequence number is a multiple of this lists known nodes; the others list none. */
    private static final int REPORTS_PER_KNOWN_NODES = 4;

    /** Most reports in a batch; bounds the length of a message. */
    private static final int MAXIMUM_REPORTS_PER_BATCH = 512;

    private final NodeLocation location;
    private final Clock clock;
    private final RandomGenerator random;
    private final FleetView fleet;
    private final PeerSender sender;
    private final ReportSource source;
    private final ReportListener listener;
    private final AtomicBoolean reportRequested = new AtomicBoolean(true);
    private final RelayDirection outbound;
    private final RelayDirection inbound;
    private final List<NodeAddress> newcomers = new ArrayList<>();
    private NodeReport ownReport;
    private long sequence;
    private long lastReportMs;
    private long latestRelayedReportMs;
    private long lastRequestMs;
    private long highestVersion;
    private boolean relaying;

    /**
     * Creates an exchange.
     *
     * @param location the location of this node, not null.
     * @param clock the clock, not null.
     * @param random the random number generator, used by the ticking thread only, not null.
     * @param fleet the reports of the other nodes, not null.
     * @param sender sends messages to other nodes, not null.
     * @param source creates the reports of this node, not null.
     * @param listener receives the reports that the view has accepted, not null.
     */
    public ReportExchange(
            final NodeLocation location,
            final Clock clock,
            final RandomGenerator random,
            final FleetView fleet,
            final PeerSender sender,
            final ReportSource source,
            final ReportListener listener) {
        this.location = Objects.requireNonNull(location, "location");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.random = Objects.requireNonNull(random, "random");
        this.fleet = Objects.requireNonNull(fleet, "fleet");
        this.sender = Objects.requireNonNull(sender, "sender");
        this.source = Objects.requireNonNull(source, "source");
        this.listener = Objects.requireNonNull(listener, "listener");
        long nowMs = clock.nowMs();
        this.latestRelayedReportMs = nowMs;
        this.lastRequestMs = nowMs;
        this.lastReportMs = nowMs;
        // The random offset keeps the batches of several relays apart, so that together they are more frequent.
        long firstRelayMs = nowMs + FIRST_RELAY_DELAY_MS + random.nextLong(RELAY_PERIOD_MS / 2);
        this.outbound = new RelayDirection(firstRelayMs);
        this.inbound = new RelayDirection(firstRelayMs);
    }

    /** Makes the next tick send a report. Thread-safe. */
    public void requestReport() {
        reportRequested.set(true);
    }

    /**
     * Returns whether this node relays reports at present.
     *
     * @return true if it is one of its domain's relays or has taken them for failed.
     */
    public boolean isRelaying() {
        return relaying;
    }

    /** Sends what is due. */
    public void tick() {
        long nowMs = clock.nowMs();
        boolean requested = reportRequested.getAndSet(false);
        if (requested || nowMs - lastReportMs >= REPORT_PERIOD_MS) {
            lastReportMs = nowMs;
            sendOwnReport();
            if (requested || isRecentlyConfirmed(ownReport)) {
                outbound.markUrgent(location.node());
            }
        }
        List<FleetView.ReceivedReport> live = fleet.liveReports();
        boolean stale = isRelayedPictureStale(nowMs);
        relaying = isSelectedRelay(live) || stale;
        if (relaying) {
            sendToOtherDomains(live, nowMs);
            sendToOwnDomain(live, nowMs);
            sendToNewcomers(live, nowMs);
        } else {
            outbound.clearUrgent();
            inbound.clearUrgent();
        }
        if (stale) {
            requestReports(nowMs);
        }
        newcomers.clear();
    }

    private void sendOwnReport() {
        sequence++;
        List<KnownNode> knownNodes = new ArrayList<>(fleet.knownNodes());
        knownNodes.removeIf(node -> node.node().equals(location.node()));
        ownReport = source.create(sequence, selectKnownNodes(knownNodes));
        List<NodeAddress> receivers = knownNodes.stream()
                .filter(node ->
                        node.failureDomain().isEmpty() || node.failureDomain().equals(location.failureDomain()))
                .map(KnownNode::address)
                .toList();
        sender.send(receivers, ownReport);
    }

    private List<KnownNode> selectKnownNodes(final List<KnownNode> knownNodes) {
        List<KnownNode> selected = new ArrayList<>();
        if (sequence % REPORTS_PER_KNOWN_NODES == 0 && !knownNodes.isEmpty()) {
            for (int index = 0; index < MAXIMUM_KNOWN_NODES_PER_REPORT; index++) {
                selected.add(knownNodes.get(random.nextInt(knownNodes.size())));
            }
        }
        return selected;
    }

    private boolean isSelectedRelay(final List<FleetView.ReceivedReport> live) {
        return RelaySelection.relays(withOwnReport(live), location.failureDomain())
                .contains(ownReport);
    }

    private List<NodeReport> withOwnReport(final List<FleetView.ReceivedReport> live) {
        List<NodeReport> reports = new ArrayList<>(live.size() + 1);
        live.forEach(received -> reports.add(received.report()));
        reports.add(ownReport);
        return reports;
    }

    private boolean isRelayedPictureStale(final long nowMs) {
        return nowMs - latestRelayedReportMs > STALE_RELAYED_REPORTS_MS
                && fleet.knownNodes().stream().anyMatch(this::isRemote);
    }

    private boolean isRemote(final KnownNode node) {
        return !node.failureDomain().isEmpty() && !node.failureDomain().equals(location.failureDomain());
    }

    private void sendToOtherDomains(final List<FleetView.ReceivedReport> live, final long nowMs) {
        if (!outbound.isDue(nowMs)) {
            return;
        }
        List<FleetView.ReceivedReport> ownDomain = new ArrayList<>();
        ownDomain.add(new FleetView.ReceivedReport(ownReport, lastReportMs, false));
        live.stream()
                .filter(received ->
                        !received.relayed() && received.report().failureDomain().equals(location.failureDomain()))
                .forEach(ownDomain::add);
        List<FleetView.ReceivedReport> due = outbound.takeDue(ownDomain, nowMs);
        send(remoteReceivers(withOwnReport(live)), due, nowMs);
    }

    /** Selects one relay of each other domain, another one each time, so that one broken connection does no harm. */
    private List<NodeAddress> remoteReceivers(final List<NodeReport> live) {
        Map<String, List<NodeAddress>> contactsByDomain = new TreeMap<>();
        fleet.knownNodes().stream()
                .filter(this::isRemote)
                .forEach(node -> contactsByDomain
                        .computeIfAbsent(node.failureDomain(), unused -> new ArrayList<>())
                        .add(node.address()));
        List<NodeAddress> receivers = new ArrayList<>();
        contactsByDomain.forEach((domain, contacts) -> {
            List<NodeAddress> relays = RelaySelection.relays(live, domain).stream()
                    .map(NodeReport::address)
                    .toList();
            receivers.add(
                    relays.isEmpty()
                            ? contacts.get(random.nextInt(contacts.size()))
                            : relays.get((int) (outbound.batches() % relays.size())));
        });
        return receivers;
    }

    private void sendToOwnDomain(final List<FleetView.ReceivedReport> live, final long nowMs) {
        if (!inbound.isDue(nowMs)) {
            return;
        }
        List<NodeAddress> receivers = live.stream()
                .map(FleetView.ReceivedReport::report)
                .filter(report -> report.failureDomain().equals(location.failureDomain()))
                .map(NodeReport::address)
                .toList();
        send(receivers, inbound.takeDue(remoteReports(live), nowMs), nowMs);
    }

    private List<FleetView.ReceivedReport> remoteReports(final List<FleetView.ReceivedReport> live) {
        return live.stream()
                .filter(received -> !received.report().failureDomain().equals(location.failureDomain()))
                .toList();
    }

    /** Sends the reports of the other domains to the nodes of this domain that have just appeared. */
    private void sendToNewcomers(final List<FleetView.ReceivedReport> live, final long nowMs) {
        send(newcomers, remoteReports(live), nowMs);
    }

    private void requestReports(final long nowMs) {
        if (nowMs - lastRequestMs < RELAY_PERIOD_MS) {
            return;
        }
        lastRequestMs = nowMs;
        List<KnownNode> remote =
                fleet.knownNodes().stream().filter(this::isRemote).toList();
        if (!remote.isEmpty()) {
            sender.send(remote.get(random.nextInt(remote.size())).address(), new ReportRequest(location.address()));
        }
    }

    private void send(
            final Collection<NodeAddress> receivers, final List<FleetView.ReceivedReport> reports, final long nowMs) {
        if (receivers.isEmpty()) {
            return;
        }
        for (int start = 0; start < reports.size(); start += MAXIMUM_REPORTS_PER_BATCH) {
            List<ReportBatch.RelayedReport> batch =
                    reports.subList(start, Math.min(reports.size(), start + MAXIMUM_REPORTS_PER_BATCH)).stream()
                            .map(received -> new ReportBatch.RelayedReport(
                                    received.report().withoutKnownNodes(),
                                    Math.max(0, nowMs - received.receivedAtMs())))
                            .toList();
            sender.send(receivers, new ReportBatch(batch));
        }
    }

    /**
     * Handles a message of another node.
     *
     * @param senderNode the name of the node that sent the message, not null.
     * @param message the message, not null.
     * @return true if the message is a report, a batch of reports or a request for reports.
     */
    public boolean receive(final String senderNode, final ControlMessage message) {
        if (message instanceof NodeReport report) {
            accept(new ReportBatch.RelayedReport(report, 0), false);
        } else if (message instanceof ReportBatch batch) {
            batch.reports().forEach(relayed -> accept(relayed, true));
            if (relaying && isOtherRelay(senderNode)) {
                markRelayed(batch);
            } else if (!relaying && isFromOtherDomain(senderNode)) {
                forwardToRelay(batch);
            }
        } else if (message instanceof ReportRequest request) {
            answer(request);
        } else {
            return false;
        }
        return true;
    }

    /**
     * Hands a batch on that came from another domain, whose relays do not know the relays of this one yet or know
     * others.
     */
    private void forwardToRelay(final ReportBatch batch) {
        if (ownReport != null) {
            relays().stream()
                    .map(NodeReport::address)
                    .filter(address -> !address.equals(location.address()))
                    .findFirst()
                    .ifPresent(relay -> sender.send(relay, batch));
        }
    }

    private boolean isFromOtherDomain(final String senderNode) {
        return fleet.findReport(senderNode)
                .filter(received -> !received.report().failureDomain().equals(location.failureDomain()))
                .isPresent();
    }

    private boolean isOtherRelay(final String senderNode) {
        return relays().stream().anyMatch(relay -> relay.node().equals(senderNode));
    }

    /** Lists the relays of this domain. */
    private List<NodeReport> relays() {
        return RelaySelection.relays(withOwnReport(fleet.liveReports()), location.failureDomain());
    }

    /** Records that another relay has passed reports on within this domain, so that this one does not do it again. */
    private void markRelayed(final ReportBatch batch) {
        long nowMs = clock.nowMs();
        for (ReportBatch.RelayedReport relayed : batch.reports()) {
            inbound.markRelayed(new FleetView.ReceivedReport(relayed.report(), nowMs - relayed.ageMs(), true));
        }
    }

    private void accept(final ReportBatch.RelayedReport relayed, final boolean fromRelay) {
        NodeReport report = relayed.report();
        if (report.node().equals(location.node())) {
            return;
        }
        boolean remote = !report.failureDomain().equals(location.failureDomain());
        if (fromRelay && remote) {
            latestRelayedReportMs = clock.nowMs();
        }
        NodeReport previous = fleet.findReport(report.node())
                .map(FleetView.ReceivedReport::report)
                .orElse(null);
        FleetView.Change change = fromRelay ? fleet.acceptRelayed(relayed) : fleet.accept(report);
        if (change == FleetView.Change.OUTDATED) {
            return;
        }
        boolean newVersion = report.configurationVersion() > highestVersion;
        highestVersion = Math.max(highestVersion, report.configurationVersion());
        if (newVersion
                || change == FleetView.Change.REGAINED
                || isRecentlyConfirmed(report)
                || hasUrgentChange(previous, report)) {
            (remote ? inbound : outbound).markUrgent(report.node());
        }
        if (change == FleetView.Change.REGAINED && !remote) {
            newcomers.add(report.address());
            requestReport();
        }
        listener.accepted(report, change);
    }

    /** Returns whether the node watches the store: the nodes that rely on it must see soon that it has stopped. */
    private static boolean isRecentlyConfirmed(final NodeReport report) {
        return report.confirmedAgeMs().orElse(Long.MAX_VALUE) < RECENT_CONFIRMATION_MS;
    }

    private static boolean hasUrgentChange(final NodeReport previous, final NodeReport latest) {
        return previous.leaving() != latest.leaving()
                || !previous.evacuations().containsAll(latest.evacuations())
                || previous.targets().size() != latest.targets().size()
                || latest.targets().stream().anyMatch(target -> !hasTarget(previous, target));
    }

    private static boolean hasTarget(final NodeReport report, final TargetReport target) {
        for (TargetReport other : report.targets()) {
            if (other.target().equals(target.target())
                    && other.version().equals(target.version())
                    && other.accepting() == target.accepting()) {
                return true;
            }
        }
        return false;
    }

    private void answer(final ReportRequest request) {
        List<FleetView.ReceivedReport> reports = new ArrayList<>(fleet.liveReports());
        if (ownReport != null) {
            reports.add(new FleetView.ReceivedReport(ownReport, lastReportMs, false));
        }
        send(List.of(request.replyTo()), reports, clock.nowMs());
    }

    /** Creates the reports of a node. */
    @FunctionalInterface
    public interface ReportSource {

        /**
         * Creates a report of the node's present state.
         *
         * @param sequence the number of the report.
         * @param knownNodes the nodes to list in the report, not null.
         * @return the report, never null.
         */
        NodeReport create(long sequence, List<KnownNode> knownNodes);
    }

    /** Receives accepted reports. */
    @FunctionalInterface
    public interface ReportListener {

        /**
         * Handles a report of another node that is newer than the previous one.
         *
         * @param report the report, not null.
         * @param change how the view changed, not null and not {@link FleetView.Change#OUTDATED}.
         */
        void accepted(NodeReport report, FleetView.Change change);
    }
}
