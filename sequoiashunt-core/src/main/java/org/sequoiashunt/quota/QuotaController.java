package org.sequoiashunt.quota;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.sequoiashunt.blackboard.Controller;
import org.sequoiashunt.fleet.FleetView;
import org.sequoiashunt.fleet.NodeReport;
import org.sequoiashunt.fleet.RelaySelection;
import org.sequoiashunt.organisation.RateLimit;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.peer.PeerSender;
import org.sequoiashunt.time.Clock;

/**
 * Reports this node's requests of organisations with limits to the coordinator, puts its grants in force, and
 * coordinates if other nodes report to this one.
 *
 * <p>The coordinator is the strongest live node, the same one for all organisations: most nodes have little processor
 * capacity, and one message per period serves all organisations. A node that gets no reply reports to the next one.
 *
 * <p>Not thread-safe: one thread calls {@link #tick} and {@link #receive}. Invariant: while no limit is in force or the
 * configuration has no organisation with a limit, nothing is counted or sent.
 */
public final class QuotaController implements Controller {

    /** Time without a reply after which another coordinator is chosen: two reports and a round trip. */
    static final long SILENCE_MS = 1_200;

    /** Time in which a silent coordinator is not chosen again; reports of a killed node may be live for 5 s. */
    private static final long AVOID_MS = 5_000;

    /** Time for which a stronger node has to be known before it replaces the coordinator. */
    private static final long CHALLENGE_MS = 2_000;

    /** Least time between two reports, also if requests are refused. */
    private static final long MINIMUM_GAP_MS = 100;

    /** Other nodes that a node has to know before it coordinates in its first seconds. */
    private static final int DISCOVERED_NODES = 4;

    /** Nodes that have fallen silent may be cut off and use their part of the limits; a cut can last for long. */
    private static final long NODE_COUNT_WINDOW_MS = 60_000;

    private final Dependencies dependencies;
    private final Optional<QuotaCoordinator> coordinator;
    private final SlidingMaximum nodesSeen = new SlidingMaximum(NODE_COUNT_WINDOW_MS);
    private final long startMs;
    private Map<String, RateLimit> limits = Map.of();
    private Optional<Peer> current = Optional.empty();
    private String avoided = "";
    private long avoidedUntilMs;
    private long challengedSinceMs = -1;
    private long sentMs;
    private long repliedMs;
    private long periodMs = QuotaCoordinator.REPORT_PERIOD_MS;

    /**
     * Creates a controller.
     *
     * @param dependencies the collaborators, not null.
     * @param bounds the bounds in force, empty if no limit is in force; not null.
     */
    public QuotaController(final Dependencies dependencies, final Optional<QuotaBounds> bounds) {
        this.dependencies = Objects.requireNonNull(dependencies, "dependencies");
        this.coordinator = bounds.map(inForce -> new QuotaCoordinator(dependencies.clock(), inForce));
        this.startMs = dependencies.clock().nowMs();
        this.sentMs = startMs - periodMs;
    }

    @Override
    public void tick() {
        if (coordinator.isEmpty() || !applyLimits()) {
            return;
        }
        coordinator.get().expire();
        long sinceSentMs = dependencies.clock().nowMs() - sentMs;
        if (sinceSentMs >= periodMs
                || sinceSentMs >= MINIMUM_GAP_MS && dependencies.limiter().takeUrgency()) {
            report();
        }
    }

    /** Returns whether there are limits, after those of a new configuration have been put in force. */
    private boolean applyLimits() {
        Map<String, RateLimit> latest = dependencies.limits().get();
        if (latest != limits) {
            limits = latest;
            dependencies.limiter().retain(latest);
            coordinator.get().configure(latest);
            if (latest.isEmpty()) {
                coordinator.get().clear();
                current = Optional.empty();
            }
        }
        return !latest.isEmpty();
    }

    private void report() {
        long nowMs = dependencies.clock().nowMs();
        nodesSeen.record(nowMs, dependencies.fleet().liveReports().size() + 1);
        sentMs = nowMs;
        Optional<Peer> chosen = choose(nowMs);
        if (!chosen.equals(current)) {
            replaceCoordinator(chosen, nowMs);
        }
        chosen.ifPresent(peer -> send(peer, false));
    }

    private void replaceCoordinator(final Optional<Peer> chosen, final long nowMs) {
        current.ifPresent(previous -> send(previous, true));
        dependencies
                .observer()
                .coordinatorChanged(
                        current.map(Peer::node).orElse(""),
                        chosen.map(Peer::node).orElse(""),
                        nodesSeen.value(nowMs));
        current = chosen;
        repliedMs = nowMs;
        challengedSinceMs = -1;
        dependencies.limiter().startSession();
    }

    private void send(final Peer peer, final boolean leaving) {
        int nodes = nodesSeen.value(dependencies.clock().nowMs());
        QuotaReport report = dependencies.limiter().createReport(dependencies.address(), nodes, leaving);
        if (peer.node().equals(dependencies.node())) {
            coordinator.get().answer(peer.node(), report, nodes).ifPresent(this::accept);
        } else {
            dependencies.sender().send(peer.address(), report);
        }
    }

    /** Keeps the coordinator until it is silent, leaves, or a stronger node has been known for some time. */
    private Optional<Peer> choose(final long nowMs) {
        if (current.isPresent() && nowMs - repliedMs >= SILENCE_MS) {
            avoided = current.get().node();
            avoidedUntilMs = nowMs + AVOID_MS;
        }
        Optional<Peer> strongest = dependencies.fleet().liveReports().stream()
                .map(FleetView.ReceivedReport::report)
                .filter(report -> !report.leaving() && report.configurationVersion() > 0)
                .filter(report -> nowMs >= avoidedUntilMs || !report.node().equals(avoided))
                .min(RelaySelection.SUITABILITY)
                .map(Peer::of);
        Peer self = new Peer(dependencies.node(), dependencies.address(), dependencies.capacity());
        if (mayCoordinate(nowMs) && (strongest.isEmpty() || self.isStrongerThan(strongest.get()))) {
            strongest = Optional.of(self);
        }
        if (strongest.equals(current) || !isUsable(nowMs)) {
            challengedSinceMs = -1;
            return strongest;
        }
        if (challengedSinceMs < 0) {
            challengedSinceMs = nowMs;
        }
        return nowMs - challengedSinceMs >= CHALLENGE_MS ? strongest : current;
    }

    /** Returns whether the current coordinator may be kept. */
    private boolean isUsable(final long nowMs) {
        if (current.isEmpty() || current.get().node().equals(avoided) && nowMs < avoidedUntilMs) {
            return false;
        }
        String node = current.get().node();
        return node.equals(dependencies.node())
                ? mayCoordinate(nowMs)
                : dependencies
                        .fleet()
                        .findReport(node)
                        .filter(received -> !received.report().leaving())
                        .isPresent();
    }

    /** A node that has just started knows few others, and would take their parts of the limits for its own. */
    private boolean mayCoordinate(final long nowMs) {
        boolean discovered = nowMs - startMs >= QuotaLimiter.DISCOVERY_MS || nodesSeen.value(nowMs) > DISCOVERED_NODES;
        return discovered && !dependencies.leaving().getAsBoolean();
    }

    @Override
    public boolean receive(final String sender, final ControlMessage message) {
        if (message instanceof QuotaReport report) {
            if (coordinator.isPresent() && applyLimits()) {
                coordinator
                        .get()
                        .answer(
                                sender,
                                report,
                                nodesSeen.value(dependencies.clock().nowMs()))
                        .ifPresent(grant -> dependencies.sender().send(report.replyTo(), grant));
            }
        } else if (message instanceof QuotaGrant grant) {
            if (current.map(Peer::node).filter(sender::equals).isPresent()) {
                accept(grant);
            }
        } else {
            return false;
        }
        return true;
    }

    private void accept(final QuotaGrant grant) {
        if (!grant.known()) {
            if (dependencies.limiter().isCurrent(grant)) {
                dependencies.limiter().startSession();
                current.ifPresent(peer -> send(peer, false));
            }
        } else if (dependencies.limiter().accept(grant)) {
            repliedMs = dependencies.clock().nowMs();
            periodMs = grant.periodMs();
        }
    }

    /**
     * Returns the number of nodes with a lease of this coordinator.
     *
     * @return zero or more; empty if no limit is in force.
     */
    public OptionalInt reportingNodes() {
        return coordinator.isPresent() ? OptionalInt.of(coordinator.get().leaseCount()) : OptionalInt.empty();
    }

    /** Node that may coordinate. Immutable. */
    private record Peer(String node, NodeAddress address, int capacity) {

        private static Peer of(final NodeReport report) {
            return new Peer(report.node(), report.address(), report.capacity());
        }

        private boolean isStrongerThan(final Peer other) {
            return capacity > other.capacity || capacity == other.capacity && node.compareTo(other.node) < 0;
        }
    }

    /** Learns of changes. */
    @FunctionalInterface
    public interface Observer {

        /**
         * The coordinator of this node has changed.
         *
         * @param previous the name of the previous one, empty for none; not null.
         * @param next the name of the next one, empty for none; not null.
         * @param nodes the most nodes seen lately.
         */
        void coordinatorChanged(String previous, String next, int nodes);
    }

    /**
     * Collaborators of the controller. Immutable; as thread-safe as its components.
     *
     * @param node the name of this node.
     * @param address the address on which this node accepts links.
     * @param capacity the processor capacity of this node's VM, in thousandths of a core.
     * @param clock the time source.
     * @param fleet the latest reports of the other nodes.
     * @param limits supplies the limits of the active configuration by organisation, the same map until it changes.
     * @param limiter decides on the requests at this node.
     * @param leaving true once this node is shutting down or while it has no configuration.
     * @param sender sends messages to other nodes.
     * @param observer learns of changes.
     */
    public record Dependencies(
            String node,
            NodeAddress address,
            int capacity,
            Clock clock,
            FleetView fleet,
            Supplier<Map<String, RateLimit>> limits,
            QuotaLimiter limiter,
            BooleanSupplier leaving,
            PeerSender sender,
            Observer observer) {}
}
