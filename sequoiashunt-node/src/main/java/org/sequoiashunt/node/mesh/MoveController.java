package org.sequoiashunt.node.mesh;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.sequoiashunt.blackboard.Controller;
import org.sequoiashunt.fleet.FleetView;
import org.sequoiashunt.fleet.MoveState;
import org.sequoiashunt.fleet.NodeReport;
import org.sequoiashunt.fleet.VersionMove;
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
 * <p>Every node has the orders, from the store or from the reports of others, and collects the evidence. Live nodes are
 * ranked by name. The first one decides about shares and outcomes, so that the next one takes over as soon as it is
 * gone. Until its loss is noticed, nobody would take a bad version back; therefore the next nodes roll a version back
 * as well, if its fault has persisted for a time that grows with their rank. Several nodes may decide at the same time
 * without harm: {@link VersionMove#merge} only advances a move, and outcomes are recorded by compare-and-swap.
 *
 * <p>One thread calls {@link #tick}; {@link #acceptOrder} and {@link #rank} may be called from any thread.
 */
final class MoveController implements Controller {

    /** Time span of the evidence for a decision: long compared with report periods, short to detect late faults. */
    private static final long EVIDENCE_WINDOW_MS = 2_500;

    /** Time per rank for which a fault must persist before a node that is not the first rolls the version back. */
    private static final long STAND_IN_DELAY_MS = 1_000;

    /** Highest rank that rolls versions back; it covers the loss of two nodes at the same time. */
    private static final int MAXIMUM_STAND_IN_RANK = 2;

    private static final long NO_FAULT = -1;

    private final String node;
    private final FleetView fleet;
    private final MoveTable moveTable;
    private final AnswerCounters answerCounters;
    private final Clock clock;
    private final DecisionLog log;
    private final Runnable onChange;
    private final MovePolicy policy = new MovePolicy();
    private final Map<String, ActiveMove> activeMoves = new HashMap<>();

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

    /** Starts the ordered move, which replaces an earlier one; ignores an order that is known or has been replaced. */
    void acceptOrder(final MoveRequest order) {
        Optional<VersionMove> known = moveTable.find(order.service());
        if (known.isPresent()
                && (known.get().order() > order.orderRevision()
                        || known.get().order() == order.orderRevision()
                                && known.get().durationMs() > 0)) {
            return;
        }
        VersionMove ordered = VersionMove.of(
                        order.service(), order.version(), order.orderRevision(), MoveState.RUNNING, 0)
                .withDuration(order.durationMs());
        if (!moveTable.merge(ordered)) {
            return;
        }
        boolean isNew = known.isEmpty() || !known.get().continuesWith(ordered);
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
                isNew ? "ordered" : "known");
    }

    /** Returns the number of live nodes that can decide about moves and whose names sort before that of this node. */
    int rank() {
        return (int) fleet.liveReports().stream()
                .map(FleetView.ReceivedReport::report)
                .filter(report -> !report.leaving() && report.configurationVersion() > 0)
                .filter(report -> report.node().compareTo(node) < 0)
                .count();
    }

    @Override
    public void tick() {
        for (VersionMove move : moveTable.all()) {
            if (move.state().isTerminal() || move.durationMs() == 0) {
                activeMoves.remove(move.service());
                continue;
            }
            ActiveMove activeMove = activeMoves.get(move.service());
            if (activeMove == null || activeMove.order != move.order()) {
                activeMove = new ActiveMove(move);
                activeMoves.put(move.service(), activeMove);
            }
            activeMove.collectEvidence();
            decide(activeMove, move, rank());
        }
    }

    private void decide(final ActiveMove activeMove, final VersionMove move, final int rank) {
        if (rank > MAXIMUM_STAND_IN_RANK) {
            return;
        }
        VersionMove current = move.withElapsed(Math.max(move.elapsedMs(), policy.minimumElapsedMs(move)));
        moveTable.merge(current);
        Optional<MovePolicy.Decision> decision = policy.decide(current, activeMove.evidence);
        boolean hasFault = decision.isPresent() && decision.get().move().state() == MoveState.ROLLED_BACK;
        activeMove.recordFault(hasFault);
        boolean mayDecide = rank == 0 || hasFault && activeMove.faultAgeMs() >= rank * STAND_IN_DELAY_MS;
        if (mayDecide && decision.isPresent() && moveTable.merge(decision.get().move())) {
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
                    next.elapsedMs(),
                    "rank",
                    rank,
                    "reason",
                    decision.get().reason());
            onChange.run();
        }
    }

    @Override
    public boolean receive(final String sender, final ControlMessage message) {
        return false;
    }

    /** The evidence about a running move. Confined to the thread that calls {@link #tick}. */
    private final class ActiveMove {

        private final long order;
        private final EvidenceWindow evidence;
        /** The latest report of each node whose tallies are counted. */
        private final Map<String, NodeReport> countedReports = new HashMap<>();

        private long faultSinceMs = NO_FAULT;

        private ActiveMove(final VersionMove move) {
            this.order = move.order();
            this.evidence = new EvidenceWindow(move.service(), EVIDENCE_WINDOW_MS);
            if (move.elapsedMs() > EVIDENCE_WINDOW_MS) {
                // Answers from before the window began are not recent.
                evidence.setBaseline(node, 0, answerCounters.tallies(move.service()::equals));
                for (FleetView.ReceivedReport received : fleet.liveReports()) {
                    NodeReport report = received.report();
                    evidence.setBaseline(report.node(), report.incarnation(), report.tallies());
                }
            }
        }

        private void collectEvidence() {
            long nowMs = clock.nowMs();
            evidence.add(node, 0, answerCounters.tallies(evidence.service()::equals), nowMs);
            for (FleetView.ReceivedReport received : fleet.liveReports()) {
                NodeReport report = received.report();
                if (countedReports.put(report.node(), report) != report) {
                    evidence.add(report.node(), report.incarnation(), report.tallies(), nowMs);
                }
            }
        }

        private void recordFault(final boolean hasFault) {
            if (!hasFault) {
                faultSinceMs = NO_FAULT;
            } else if (faultSinceMs == NO_FAULT) {
                faultSinceMs = clock.nowMs();
            }
        }

        private long faultAgeMs() {
            return faultSinceMs == NO_FAULT ? 0 : clock.nowMs() - faultSinceMs;
        }
    }
}
