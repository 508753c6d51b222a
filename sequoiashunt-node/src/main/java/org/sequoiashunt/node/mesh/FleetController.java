package org.sequoiashunt.node.mesh;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.sequoiashunt.blackboard.Controller;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.fleet.ConfigurationCopy;
import org.sequoiashunt.fleet.ConfigurationRequest;
import org.sequoiashunt.fleet.FleetView;
import org.sequoiashunt.fleet.KnownNode;
import org.sequoiashunt.fleet.MoveState;
import org.sequoiashunt.fleet.NodeReport;
import org.sequoiashunt.mesh.MoveTable;
import org.sequoiashunt.mesh.WatcherSelection;
import org.sequoiashunt.move.AnswerCounters;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.peer.PeerSender;
import org.sequoiashunt.placement.NodeLocation;
import org.sequoiashunt.slot.SlotGates;
import org.sequoiashunt.time.Clock;

/**
 * Exchanges state reports with the other nodes and passes configurations on to nodes that have an older one.
 *
 * <p>Not thread-safe: one thread calls {@link #tick} and {@link #receive}. Only {@link #requestReport} may be called
 * from any thread.
 */
final class FleetController implements Controller {

    /** Time between reports: older load figures lead to wrong placements. */
    static final long REPORT_PERIOD_MS = 500;

    /**
     * Number of reports sent to this region only between two reports to all regions. Traffic between regions is charged
     * for, few calls go there, and the answers to these calls carry the load as well.
     */
    static final int SAME_REGION_REPORTS_PER_FULL_REPORT = 1;

    /** Most nodes listed in a report: all nodes learn of all others within a few reports. */
    private static final int MAXIMUM_KNOWN_NODES_PER_REPORT = 3;

    /** Every report whose sequence number is a multiple of this lists known nodes; the others list none. */
    private static final int REPORTS_PER_KNOWN_NODES = 4;

    /** Time for which a node waits for its store watch before it requests a newer configuration from a peer. */
    private static final long CONFIGURATION_LAG_MS = 250;

    private final NodeLocation location;
    private final long incarnation;
    private final Dependencies dependencies;
    private final AtomicBoolean reportRequested = new AtomicBoolean(true);
    private long sequence;
    private long lastReportMs;
    private int sameRegionReports;
    private long laggingSinceMs = -1;

    FleetController(final NodeLocation location, final long incarnation, final Dependencies dependencies) {
        this.location = Objects.requireNonNull(location, "location");
        this.incarnation = incarnation;
        this.dependencies = Objects.requireNonNull(dependencies, "dependencies");
    }

    /** Makes the next tick send a report to all regions. Thread-safe. */
    void requestReport() {
        reportRequested.set(true);
    }

    @Override
    public void tick() {
        dependencies.gates().update();
        dependencies.gates().tick();
        long nowMs = dependencies.clock().nowMs();
        boolean requested = reportRequested.getAndSet(false);
        if (requested || nowMs - lastReportMs >= REPORT_PERIOD_MS) {
            lastReportMs = nowMs;
            boolean toAllRegions = requested || sameRegionReports >= SAME_REGION_REPORTS_PER_FULL_REPORT;
            sameRegionReports = toAllRegions ? 0 : sameRegionReports + 1;
            sendReport(toAllRegions);
        }
        requestConfigurationIfLagging(nowMs);
    }

    private void sendReport(final boolean toAllRegions) {
        List<KnownNode> receivers = new ArrayList<>(dependencies.fleet().reportRecipients());
        receivers.removeIf(node -> node.node().equals(location.node()));
        NodeReport report = createReport(receivers);
        if (!toAllRegions) {
            receivers.removeIf(node -> isRemote(node.node()));
        }
        dependencies.sender().send(receivers.stream().map(KnownNode::address).toList(), report);
    }

    private boolean isRemote(final String node) {
        return dependencies
                .fleet()
                .findReport(node)
                .filter(received -> !received.report().region().equals(location.region()))
                .isPresent();
    }

    private NodeReport createReport(final List<KnownNode> receivers) {
        sequence++;
        List<KnownNode> knownNodes = new ArrayList<>();
        int knownNodeCount = sequence % REPORTS_PER_KNOWN_NODES == 0
                ? Math.min(MAXIMUM_KNOWN_NODES_PER_REPORT, receivers.size())
                : 0;
        for (int index = 0; index < knownNodeCount; index++) {
            knownNodes.add(receivers.get(dependencies.random().nextInt(receivers.size())));
        }
        return new NodeReport(
                location.node(),
                incarnation,
                sequence,
                location.address(),
                location.failureDomain(),
                location.region(),
                dependencies.draining().getAsBoolean(),
                dependencies.configuration().version(),
                dependencies.watcherSelection().confirmationAgeMs(),
                dependencies.gates().reports(),
                dependencies.answerCounters().tallies(this::isMoveRunning),
                List.copyOf(dependencies.moveTable().all()),
                knownNodes);
    }

    private boolean isMoveRunning(final String service) {
        return dependencies
                .moveTable()
                .find(service)
                .filter(move -> move.state() == MoveState.RUNNING)
                .isPresent();
    }

    private void requestConfigurationIfLagging(final long nowMs) {
        Optional<NodeReport> newerReport = dependencies.fleet().liveReports().stream()
                .map(FleetView.ReceivedReport::report)
                .filter(report -> report.configurationVersion()
                        > dependencies.configuration().version())
                .findAny();
        if (newerReport.isEmpty()) {
            laggingSinceMs = -1;
        } else if (laggingSinceMs < 0) {
            laggingSinceMs = nowMs;
        } else if (nowMs - laggingSinceMs >= CONFIGURATION_LAG_MS) {
            laggingSinceMs = nowMs;
            dependencies
                    .sender()
                    .send(
                            newerReport.get().address(),
                            new ConfigurationRequest(
                                    location.address(),
                                    dependencies.configuration().version()));
        }
    }

    /** Sends the active configuration to the nodes of this region that report an older version. */
    void shareConfiguration() {
        Optional<Body> document = dependencies.configuration().document();
        if (document.isEmpty()) {
            return;
        }
        long version = dependencies.configuration().version();
        List<NodeAddress> receivers = dependencies.fleet().liveReports().stream()
                .map(FleetView.ReceivedReport::report)
                .filter(report -> report.region().equals(location.region()) && report.configurationVersion() < version)
                .map(NodeReport::address)
                .toList();
        dependencies.sender().send(receivers, new ConfigurationCopy(version, document.get()));
    }

    @Override
    public boolean receive(final String sender, final ControlMessage message) {
        if (message instanceof NodeReport report) {
            acceptReport(report);
        } else if (message instanceof ConfigurationRequest request) {
            Optional<Body> document = dependencies.configuration().document();
            if (document.isPresent() && dependencies.configuration().version() > request.knownVersion()) {
                dependencies
                        .sender()
                        .send(
                                request.replyTo(),
                                new ConfigurationCopy(
                                        dependencies.configuration().version(), document.get()));
            }
        } else if (message instanceof ConfigurationCopy copy) {
            if (dependencies.configuration().activateIfNewer(copy.document(), sender)) {
                requestReport();
            }
        } else {
            return false;
        }
        return true;
    }

    private void acceptReport(final NodeReport report) {
        if (report.node().equals(location.node())) {
            return;
        }
        FleetView.Change change = dependencies.fleet().accept(report);
        if (change == FleetView.Change.OUTDATED) {
            return;
        }
        report.moves().forEach(dependencies.moveTable()::merge);
        if (change == FleetView.Change.REGAINED) {
            dependencies.log().log(
                    LogKind.PEER,
                    "peer",
                    report.node(),
                    "change",
                    "found",
                    "incarnation",
                    report.incarnation(),
                    "targets",
                    report.targets().size());
            requestReport();
        }
    }

    /**
     * Collaborators of the controller. Immutable; as thread-safe as its components.
     *
     * @param clock the time source.
     * @param random the random number generator, used by the ticking thread only.
     * @param fleet the latest reports of the other nodes.
     * @param gates the gates of this node's targets.
     * @param configuration the active configuration.
     * @param watcherSelection the choice of the nodes that watch the store.
     * @param moveTable the moves of traffic between versions.
     * @param answerCounters the counts of the answers of this node's targets.
     * @param sender sends messages to other nodes.
     * @param draining true once this node is shutting down.
     * @param log the log of decisions.
     */
    record Dependencies(
            Clock clock,
            RandomGenerator random,
            FleetView fleet,
            SlotGates gates,
            ActiveConfiguration configuration,
            WatcherSelection watcherSelection,
            MoveTable moveTable,
            AnswerCounters answerCounters,
            PeerSender sender,
            BooleanSupplier draining,
            DecisionLog log) {}
}
