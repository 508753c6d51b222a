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
 * Tells the other nodes about this one, hears about them, and shares configurations with nodes that lag.
 *
 * <p>Ticked by one thread; {@link #reportSoon} may be called from any.
 */
final class FleetController implements Controller {

    /** Time between reports: load that is older misleads placement. */
    static final long REPORT_MS = 500;

    /**
     * Reports between two that also go to other regions, whose traffic is paid: few calls go there, and their answers
     * tell the load.
     */
    static final int REPORTS_TO_NEAR_NODES = 1;

    /** Nodes named in a report, so that all learn of all within a few reports, and in which reports. */
    private static final int NAMED_NODES = 3;

    private static final int NAMING_PERIOD = 4;

    /** How long a node waits for its own watch before it asks a peer for a later configuration. */
    private static final long LAG_MS = 250;

    private final NodeLocation place;
    private final long incarnation;
    private final Dependencies parts;
    private final AtomicBoolean due = new AtomicBoolean(true);
    private long sequence;
    private long reportedMs;
    private int nearReports;
    private long behindSinceMs = -1;

    FleetController(final NodeLocation place, final long incarnation, final Dependencies parts) {
        this.place = Objects.requireNonNull(place, "place");
        this.incarnation = incarnation;
        this.parts = Objects.requireNonNull(parts, "parts");
    }

    /** Sends a report at the next tick. */
    void reportSoon() {
        due.set(true);
    }

    @Override
    public void tick() {
        parts.gates().update();
        parts.gates().tick();
        long nowMs = parts.clock().nowMs();
        boolean changed = due.getAndSet(false);
        if (changed || nowMs - reportedMs >= REPORT_MS) {
            reportedMs = nowMs;
            boolean toAll = changed || nearReports >= REPORTS_TO_NEAR_NODES;
            nearReports = toAll ? 0 : nearReports + 1;
            report(toAll);
        }
        askIfBehind(nowMs);
    }

    private void report(final boolean toAll) {
        List<KnownNode> audience = new ArrayList<>(parts.fleet().audience());
        audience.removeIf(node -> node.node().equals(place.node()));
        NodeReport report = reportNow(audience);
        if (!toAll) {
            audience.removeIf(node -> isRemote(node.node()));
        }
        parts.sender().send(audience.stream().map(KnownNode::address).toList(), report);
    }

    private boolean isRemote(final String node) {
        return parts.fleet()
                .find(node)
                .filter(sighting -> !sighting.report().region().equals(place.region()))
                .isPresent();
    }

    private NodeReport reportNow(final List<KnownNode> audience) {
        sequence++;
        List<KnownNode> named = new ArrayList<>();
        int names = sequence % NAMING_PERIOD == 0 ? Math.min(NAMED_NODES, audience.size()) : 0;
        for (int index = 0; index < names; index++) {
            named.add(audience.get(parts.random().nextInt(audience.size())));
        }
        return new NodeReport(
                place.node(),
                incarnation,
                sequence,
                place.address(),
                place.failureDomain(),
                place.region(),
                parts.leaving().getAsBoolean(),
                parts.configuration().version(),
                parts.duty().confirmationAgeMs(),
                parts.gates().reports(),
                parts.tallies().tallies(this::isMoving),
                List.copyOf(parts.board().all()),
                named);
    }

    private boolean isMoving(final String service) {
        return parts.board()
                .find(service)
                .filter(move -> move.state() == MoveState.RUNNING)
                .isPresent();
    }

    private void askIfBehind(final long nowMs) {
        Optional<NodeReport> ahead = parts.fleet().live().stream()
                .map(FleetView.ReceivedReport::report)
                .filter(report ->
                        report.configurationVersion() > parts.configuration().version())
                .findAny();
        if (ahead.isEmpty()) {
            behindSinceMs = -1;
        } else if (behindSinceMs < 0) {
            behindSinceMs = nowMs;
        } else if (nowMs - behindSinceMs >= LAG_MS) {
            behindSinceMs = nowMs;
            parts.sender()
                    .send(
                            ahead.get().address(),
                            new ConfigurationRequest(
                                    place.address(), parts.configuration().version()));
        }
    }

    /** Passes the configuration in force on to the nodes of this region that have an older one. */
    void shareConfiguration() {
        Optional<Body> document = parts.configuration().document();
        if (document.isEmpty()) {
            return;
        }
        long version = parts.configuration().version();
        List<NodeAddress> receivers = parts.fleet().live().stream()
                .map(FleetView.ReceivedReport::report)
                .filter(report -> report.region().equals(place.region()) && report.configurationVersion() < version)
                .map(NodeReport::address)
                .toList();
        parts.sender().send(receivers, new ConfigurationCopy(version, document.get()));
    }

    @Override
    public boolean receive(final String sender, final ControlMessage message) {
        if (message instanceof NodeReport report) {
            accept(report);
        } else if (message instanceof ConfigurationRequest request) {
            Optional<Body> document = parts.configuration().document();
            if (document.isPresent() && parts.configuration().version() > request.knownVersion()) {
                parts.sender()
                        .send(
                                request.replyTo(),
                                new ConfigurationCopy(parts.configuration().version(), document.get()));
            }
        } else if (message instanceof ConfigurationCopy copy) {
            if (parts.configuration().offer(copy.document(), sender)) {
                reportSoon();
            }
        } else {
            return false;
        }
        return true;
    }

    private void accept(final NodeReport report) {
        if (report.node().equals(place.node())) {
            return;
        }
        FleetView.Change change = parts.fleet().accept(report);
        if (change == FleetView.Change.OUTDATED) {
            return;
        }
        report.moves().forEach(parts.board()::merge);
        if (change == FleetView.Change.REGAINED) {
            parts.log().log(
                    LogKind.PEER,
                    "peer",
                    report.node(),
                    "change",
                    "found",
                    "incarnation",
                    report.incarnation(),
                    "targets",
                    report.targets().size());
            reportSoon();
        }
    }

    /**
     * What the controller uses. Immutable; thread-safe as its parts are.
     *
     * @param clock the clock.
     * @param random source of chance, used by one thread.
     * @param fleet the other nodes.
     * @param gates the gates of this node's targets.
     * @param configuration the configuration in force.
     * @param duty whether this node watches the store.
     * @param board the moves of traffic.
     * @param tallies what this node's targets answered.
     * @param sender sends messages to other nodes.
     * @param leaving whether this node shuts down.
     * @param log takes the decisions.
     */
    record Dependencies(
            Clock clock,
            RandomGenerator random,
            FleetView fleet,
            SlotGates gates,
            ActiveConfiguration configuration,
            WatcherSelection duty,
            MoveTable board,
            AnswerCounters tallies,
            PeerSender sender,
            BooleanSupplier leaving,
            DecisionLog log) {}
}
