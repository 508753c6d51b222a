package org.sequoiashunt.node.mesh;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.sequoiashunt.blackboard.Controller;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.crash.CrashTable;
import org.sequoiashunt.fleet.ConfigurationCopy;
import org.sequoiashunt.fleet.ConfigurationRequest;
import org.sequoiashunt.fleet.FleetView;
import org.sequoiashunt.fleet.KnownNode;
import org.sequoiashunt.fleet.MoveState;
import org.sequoiashunt.fleet.NodeReport;
import org.sequoiashunt.fleet.RelaySelection;
import org.sequoiashunt.fleet.ReportExchange;
import org.sequoiashunt.fleet.VersionMove;
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
 * Creates the reports of this node, handles those of other nodes, and passes configurations on to nodes that have an
 * older one.
 *
 * <p>A configuration crosses each link once: a node that has read it from the store sends it to the nodes of its
 * failure domain and to one relay of each other domain of its region, and that relay sends it on within its own. A node
 * that still lags asks a node of its domain for it.
 *
 * <p>Not thread-safe: one thread calls {@link #tick} and {@link #receive}. Only {@link #requestReport} and
 * {@link #shareConfiguration} may be called from any thread.
 */
final class FleetController implements Controller {

    /** Time for which a node waits for its store watch before it requests a newer configuration from a peer. */
    private static final long CONFIGURATION_LAG_MS = 250;

    private final NodeLocation location;
    private final int capacity;
    private final long incarnation;
    private final Dependencies dependencies;
    private final ReportExchange exchange;
    private long laggingSinceMs = -1;

    FleetController(
            final NodeLocation location, final int capacity, final long incarnation, final Dependencies dependencies) {
        this.location = Objects.requireNonNull(location, "location");
        this.capacity = capacity;
        this.incarnation = incarnation;
        this.dependencies = Objects.requireNonNull(dependencies, "dependencies");
        this.exchange = new ReportExchange(
                location,
                dependencies.clock(),
                dependencies.random(),
                dependencies.fleet(),
                dependencies.sender(),
                this::createReport,
                this::handleReport);
    }

    /** Makes the next tick send a report. Thread-safe. */
    void requestReport() {
        exchange.requestReport();
    }

    @Override
    public void tick() {
        dependencies.gates().update();
        dependencies.gates().tick();
        dependencies.crashTable().expire();
        if (dependencies.evacuations().revokeLostOrders()) {
            requestReport();
        }
        exchange.tick();
        requestConfigurationIfLagging(dependencies.clock().nowMs());
    }

    private NodeReport createReport(final long sequence, final List<KnownNode> knownNodes) {
        return new NodeReport(
                location.node(),
                incarnation,
                sequence,
                location.address(),
                location.failureDomain(),
                location.region(),
                capacity,
                dependencies.draining().getAsBoolean(),
                dependencies.configuration().version(),
                dependencies.watcherSelection().confirmationAgeMs(),
                dependencies.gates().reports(),
                dependencies.answerCounters().tallies(this::isMoveRunning),
                List.copyOf(dependencies.moveTable().all()),
                dependencies.crashTable().records(),
                knownNodes,
                dependencies.evacuations().reported(),
                dependencies.evacuations().lacksOrders());
    }

    private boolean isMoveRunning(final String service) {
        return dependencies
                .moveTable()
                .find(service)
                .filter(move -> move.state() == MoveState.RUNNING)
                .isPresent();
    }

    private void requestConfigurationIfLagging(final long nowMs) {
        long version = dependencies.configuration().version();
        List<NodeReport> newerReports = dependencies.fleet().liveReports().stream()
                .map(FleetView.ReceivedReport::report)
                .filter(report -> report.configurationVersion() > version)
                .toList();
        if (newerReports.isEmpty()) {
            laggingSinceMs = -1;
        } else if (laggingSinceMs < 0) {
            laggingSinceMs = nowMs;
        } else if (nowMs - laggingSinceMs >= CONFIGURATION_LAG_MS) {
            laggingSinceMs = nowMs;
            dependencies
                    .sender()
                    .send(chooseNearest(newerReports).address(), new ConfigurationRequest(location.address(), version));
        }
    }

    /** Chooses at random among the nearest nodes, so that the nodes that lag do not all ask the same one. */
    private NodeReport chooseNearest(final List<NodeReport> reports) {
        List<NodeReport> nearest = reports.stream()
                .filter(report -> report.failureDomain().equals(location.failureDomain()))
                .toList();
        if (nearest.isEmpty()) {
            nearest = reports.stream()
                    .filter(report -> report.region().equals(location.region()))
                    .toList();
        }
        List<NodeReport> choice = nearest.isEmpty() ? reports : nearest;
        return choice.get(dependencies.random().nextInt(choice.size()));
    }

    /**
     * Sends the active configuration to the nodes of this failure domain, and to one relay of each other domain of this
     * region, that report an older version. Thread-safe.
     */
    void shareConfiguration() {
        List<NodeReport> reports = liveReports();
        List<NodeReport> receivers = new ArrayList<>(ownDomain(reports));
        reports.stream()
                .filter(report -> report.region().equals(location.region())
                        && !report.failureDomain().equals(location.failureDomain()))
                .map(NodeReport::failureDomain)
                .distinct()
                .forEach(domain -> RelaySelection.relays(reports, domain).stream()
                        .findFirst()
                        .ifPresent(receivers::add));
        sendConfiguration(receivers);
    }

    private List<NodeReport> liveReports() {
        return dependencies.fleet().liveReports().stream()
                .map(FleetView.ReceivedReport::report)
                .toList();
    }

    private List<NodeReport> ownDomain(final List<NodeReport> reports) {
        return reports.stream()
                .filter(report -> report.failureDomain().equals(location.failureDomain()))
                .toList();
    }

    private void sendConfiguration(final List<NodeReport> receivers) {
        Optional<Body> document = dependencies.configuration().document();
        if (document.isEmpty()) {
            return;
        }
        long version = dependencies.configuration().version();
        List<NodeAddress> outdated = receivers.stream()
                .filter(report -> report.configurationVersion() < version)
                .map(NodeReport::address)
                .toList();
        if (!outdated.isEmpty()) {
            dependencies.sender().send(outdated, new ConfigurationCopy(version, document.get()));
        }
    }

    @Override
    public boolean receive(final String sender, final ControlMessage message) {
        if (message instanceof ConfigurationRequest request) {
            answer(request);
        } else if (message instanceof ConfigurationCopy copy) {
            if (dependencies.configuration().activateIfNewer(copy.document(), sender)) {
                dependencies.evacuations().configurationChanged();
                requestReport();
                passOn(sender);
            }
        } else {
            return exchange.receive(sender, message);
        }
        return true;
    }

    private void answer(final ConfigurationRequest request) {
        long version = dependencies.configuration().version();
        Optional<Body> document = dependencies.configuration().document();
        if (document.isPresent() && version > request.knownVersion()) {
            dependencies.sender().send(request.replyTo(), new ConfigurationCopy(version, document.get()));
        }
    }

    /** Passes a configuration from another failure domain on to this one; within a domain, its first receiver does. */
    private void passOn(final String sender) {
        boolean fromOtherDomain = dependencies
                .fleet()
                .findReport(sender)
                .filter(received -> !received.report().failureDomain().equals(location.failureDomain()))
                .isPresent();
        if (fromOtherDomain) {
            sendConfiguration(ownDomain(liveReports()));
        }
    }

    private void handleReport(final NodeReport report, final FleetView.Change change) {
        dependencies.crashTable().merge(report.crashes());
        boolean evacuationChanged = dependencies.evacuations().apply(report);
        boolean moveChanged = false;
        for (VersionMove move : report.moves()) {
            moveChanged |= dependencies.moveTable().merge(move);
        }
        if (evacuationChanged || moveChanged && exchange.isRelaying()) {
            requestReport();
        }
        if (change == FleetView.Change.REGAINED) {
            dependencies.onPeerFound().accept(report);
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
     * @param crashTable the requests that were at work at targets that crashed.
     * @param evacuations the evacuated failure domains.
     * @param answerCounters the counts of the answers of this node's targets.
     * @param sender sends messages to other nodes.
     * @param draining true once this node is shutting down.
     * @param onPeerFound called with the report of a node that is new, has restarted or was silent.
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
            CrashTable crashTable,
            EvacuationControl evacuations,
            AnswerCounters answerCounters,
            PeerSender sender,
            BooleanSupplier draining,
            Consumer<NodeReport> onPeerFound,
            DecisionLog log) {}
}
