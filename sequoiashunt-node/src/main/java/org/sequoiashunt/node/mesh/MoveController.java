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
 * Runs the moves of traffic between versions that the operator has ordered.
 *
 * <p>Every node collects the evidence, but only the live node whose name sorts first decides, so that the next node by
 * name takes over as soon as the deciding node is gone. Two nodes may decide at the same time without harm: the states
 * of a move supersede each other in one direction only, and outcomes are recorded by compare-and-swap.
 *
 * <p>One thread calls {@link #tick}; {@link #acceptOrder} may be called from any thread.
 */
final class MoveController implements Controller {

    /** Time span of the evidence for a decision: long compared with report periods, short to detect late faults. */
    private static final long EVIDENCE_WINDOW_MS = 2_500;

    private final String node;
    private final FleetView fleet;
    private final MoveTable moveTable;
    private final AnswerCounters answerCounters;
    private final Clock clock;
    private final DecisionLog log;
    private final Runnable onChange;
    private final MovePolicy policy = new MovePolicy();
    private final Map<String, ActiveMove> activeMoves = new ConcurrentHashMap<>();

    MoveController(
            final String node,
            final FleetView fleet,
            final MoveTable moveTable,
            final AnswerCounters answerCounters,
            final Clock clock,
            final DecisionLog log,
            final Runnable onChange) {
        this.node = Objects.requireNonNull(node, "node");
        this.fleet = Objects.requireNonNull(fleet, "fleet");
        this.moveTable = Objects.requireNonNull(moveTable, "moveTable");
        this.answerCounters = Objects.requireNonNull(answerCounters, "answerCounters");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.log = Objects.requireNonNull(log, "log");
        this.onChange = Objects.requireNonNull(onChange, "onChange");
    }

    /** Starts the ordered move, which replaces an earlier one; ignores an order whose revision is not higher. */
    void acceptOrder(final MoveRequest order) {
        ActiveMove existing = activeMoves.get(order.service());
        if (existing != null && existing.order().orderRevision() >= order.orderRevision()) {
            return;
        }
        activeMoves.put(
                order.service(),
                new ActiveMove(order, clock.nowMs(), new EvidenceWindow(order.service(), EVIDENCE_WINDOW_MS)));
        boolean merged = moveTable.merge(
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
        ActiveMove activeMove = activeMoves.get(move.service());
        return activeMove != null && activeMove.order().orderRevision() == move.order();
    }

    /** Returns whether this node decides about moves: no live node that can decide has a name that sorts before. */
    boolean isDecisionMaker() {
        return fleet.liveReports().stream()
                .map(FleetView.ReceivedReport::report)
                .filter(report -> !report.leaving() && report.configurationVersion() > 0)
                .noneMatch(report -> report.node().compareTo(node) < 0);
    }

    @Override
    public void tick() {
        for (ActiveMove activeMove : activeMoves.values()) {
            VersionMove move = moveTable.find(activeMove.order().service()).orElse(null);
            if (move == null
                    || move.order() != activeMove.order().orderRevision()
                    || move.state().isTerminal()) {
                continue;
            }
            collectEvidence(activeMove);
            if (isDecisionMaker()) {
                decide(activeMove, move);
            }
        }
    }

    private void collectEvidence(final ActiveMove activeMove) {
        long nowMs = clock.nowMs();
        String service = activeMove.order().service();
        activeMove.evidence().add(node, 0, answerCounters.tallies(service::equals), nowMs);
        for (FleetView.ReceivedReport received : fleet.liveReports()) {
            NodeReport report = received.report();
            List<VersionTally> reportedTallies = report.tallies();
            activeMove.evidence().add(report.node(), report.incarnation(), reportedTallies, nowMs);
        }
    }

    /** Returns the time since the order, or, if this node received it late, the least time that fits the share. */
    private long elapsedMs(final ActiveMove activeMove, final VersionMove move) {
        long nowMs = clock.nowMs();
        long minimumElapsedMs = policy.minimumElapsedMs(activeMove.order(), move.sharePermille());
        long elapsedMs = nowMs - activeMove.startMs();
        if (elapsedMs < minimumElapsedMs) {
            activeMoves.put(
                    activeMove.order().service(),
                    new ActiveMove(activeMove.order(), nowMs - minimumElapsedMs, activeMove.evidence()));
        }
        return Math.max(elapsedMs, minimumElapsedMs);
    }

    private void decide(final ActiveMove activeMove, final VersionMove move) {
        long elapsedMs = elapsedMs(activeMove, move);
        Optional<MovePolicy.Decision> decision =
                policy.decide(activeMove.order(), move, elapsedMs, activeMove.evidence());
        if (decision.isPresent() && moveTable.merge(decision.get().move())) {
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
            onChange.run();
        }
    }

    @Override
    public boolean receive(final String sender, final ControlMessage message) {
        return false;
    }

    /** An order, the start time of its move and the evidence about it. Immutable except for the evidence. */
    private record ActiveMove(MoveRequest order, long startMs, EvidenceWindow evidence) {}
}
