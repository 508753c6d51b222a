package org.sequoiashunt.node.mesh;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.sequoiashunt.blackboard.Controller;
import org.sequoiashunt.fleet.FleetView;
import org.sequoiashunt.fleet.MoveState;
import org.sequoiashunt.fleet.NodeReport;
import org.sequoiashunt.fleet.VersionMove;
import org.sequoiashunt.fleet.VersionTally;
import org.sequoiashunt.mesh.MoveTable;
import org.sequoiashunt.move.AnswerCounters;
import org.sequoiashunt.move.EvidenceWindow;
import org.sequoiashunt.move.MovePolicy;
import org.sequoiashunt.move.MoveRequest;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.time.Clock;

/**
 * Runs the moves of traffic that the operator has ordered.
 *
 * <p>Every node gathers the evidence; the live node with the first name decides, so that the next one goes on as soon
 * as that one is gone. Two nodes that both think they are first do no harm: standings only supersede each other in one
 * direction, and outcomes are recorded by compare-and-swap.
 *
 * <p>Ticked by one thread; orders may come from any.
 */
final class MoveController implements Controller {

    /** Length of the evidence that a decision is made on: long against reports, short against late faults. */
    private static final long EVIDENCE_MS = 2_500;

    private final String node;
    private final FleetView fleet;
    private final MoveTable board;
    private final AnswerCounters tallies;
    private final Clock clock;
    private final DecisionLog log;
    private final Runnable changed;
    private final MovePolicy policy = new MovePolicy();
    private final Map<String, Run> runs = new ConcurrentHashMap<>();

    MoveController(
            final String node,
            final FleetView fleet,
            final MoveTable board,
            final AnswerCounters tallies,
            final Clock clock,
            final DecisionLog log,
            final Runnable changed) {
        this.node = Objects.requireNonNull(node, "node");
        this.fleet = Objects.requireNonNull(fleet, "fleet");
        this.board = Objects.requireNonNull(board, "board");
        this.tallies = Objects.requireNonNull(tallies, "tallies");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.log = Objects.requireNonNull(log, "log");
        this.changed = Objects.requireNonNull(changed, "changed");
    }

    /** Takes an order; a later one replaces it. */
    void order(final MoveRequest order) {
        Run known = runs.get(order.service());
        if (known != null && known.order().orderRevision() >= order.orderRevision()) {
            return;
        }
        runs.put(order.service(), new Run(order, clock.nowMs(), new EvidenceWindow(order.service(), EVIDENCE_MS)));
        boolean merged = board.merge(
                new VersionMove(order.service(), order.version(), order.orderRevision(), MoveState.RUNNING, 0));
        log.log(
                LogKind.MOVE,
                "service",
                order.service(),
                "version",
                order.version(),
                "order",
                order.orderRevision(),
                "durationMs",
                order.durationMs(),
                "state",
                merged ? "ordered" : "known");
    }

    boolean hasOrder(final VersionMove move) {
        Run run = runs.get(move.service());
        return run != null && run.order().orderRevision() == move.order();
    }

    /** Whether this node decides about moves. */
    boolean inControl() {
        return fleet.liveReports().stream()
                .map(FleetView.ReceivedReport::report)
                .filter(report -> !report.leaving() && report.configurationVersion() > 0)
                .noneMatch(report -> report.node().compareTo(node) < 0);
    }

    @Override
    public void tick() {
        for (Run run : runs.values()) {
            VersionMove move = board.find(run.order().service()).orElse(null);
            if (move == null
                    || move.order() != run.order().orderRevision()
                    || move.state().isTerminal()) {
                continue;
            }
            gather(run);
            if (inControl()) {
                decide(run, move);
            }
        }
    }

    private void gather(final Run run) {
        long nowMs = clock.nowMs();
        String service = run.order().service();
        run.evidence().add(node, 0, tallies.tallies(service::equals), nowMs);
        for (FleetView.ReceivedReport sighting : fleet.liveReports()) {
            NodeReport report = sighting.report();
            List<VersionTally> reported = report.tallies();
            run.evidence().add(report.node(), report.incarnation(), reported, nowMs);
        }
    }

    /** Counts from the order, or, if this node learned of it late, from a time that fits the share. */
    private long elapsedMs(final Run run, final VersionMove move) {
        long nowMs = clock.nowMs();
        long leastMs = policy.minimumElapsedMs(run.order(), move.sharePermille());
        long elapsedMs = nowMs - run.sinceMs();
        if (elapsedMs < leastMs) {
            runs.put(run.order().service(), new Run(run.order(), nowMs - leastMs, run.evidence()));
        }
        return Math.max(elapsedMs, leastMs);
    }

    private void decide(final Run run, final VersionMove move) {
        long elapsedMs = elapsedMs(run, move);
        Optional<MovePolicy.Decision> decision = policy.decide(run.order(), move, elapsedMs, run.evidence());
        if (decision.isPresent() && board.merge(decision.get().move())) {
            VersionMove next = decision.get().move();
            log.log(
                    LogKind.MOVE,
                    "service",
                    next.service(),
                    "version",
                    next.version(),
                    "order",
                    next.order(),
                    "state",
                    next.state().name(),
                    "sharePermille",
                    next.sharePermille(),
                    "elapsedMs",
                    elapsedMs,
                    "reason",
                    decision.get().reason());
            changed.run();
        }
    }

    @Override
    public boolean receive(final String sender, final ControlMessage message) {
        return false;
    }

    /** An order, since when it is known, and the evidence about it. Immutable but for the evidence. */
    private record Run(MoveRequest order, long sinceMs, EvidenceWindow evidence) {}
}
