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
    private final Map<String, ActiveMove> runs = new ConcurrentHashMap<>();

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

    /** Starts the move that the operator ordered, unless an order of the same or a later revision exists. */
    void acceptOrder(final MoveRequest order) {
        ActiveMove existing = runs.get(order.service());
        if (existing != null && existing.order().revision() >= order.revision()) {
            return;
        }
        runs.put(
                order.service(),
                new ActiveMove(order, clock.nowMs(), new EvidenceWindow(order.service(), EVIDENCE_WINDOW_MS)));
        boolean merged = moveTable.merge(
                new VersionMove(order.service(), order.version(), order.revision(), MoveState.RUNNING, 0));
        log.log(
                LogKind.MOVE,
                "service",
                order.service(),
                "version",
                order.version(),
                "order",
                order.revision(),
                "durationMs",
                order.durationMs(),
                "state",
                merged ? "ordered" : "known");
    }

    boolean hasOrder(final VersionMove move) {
        ActiveMove run = runs.get(move.service());
        return run != null && run.order().revision() == move.order();
    }

    /** Returns whether this node decides about moves: no live node that can decide has a name that sorts before. */
    boolean isDecisionMaker() {
        return fleet.live().stream()
                .map(FleetView.ReceivedReport::report)
                .filter(report -> !report.leaving() && report.configurationVersion() > 0)
                .noneMatch(report -> report.node().compareTo(node) < 0);
    }

    @Override
    public void tick() {
        for (ActiveMove run : runs.values()) {
            VersionMove move = moveTable.find(run.order().service()).orElse(null);
            if (move == null
                    || move.order() != run.order().revision()
                    || move.state().isSealed()) {
                continue;
            }
            collectEvidence(run);
            if (isDecisionMaker()) {
                decide(run, move);
            }
        }
    }

    private void collectEvidence(final ActiveMove run) {
        long nowMs = clock.nowMs();
        String service = run.order().service();
        run.evidence().add(node, 0, answerCounters.tallies(service::equals), nowMs);
        for (FleetView.ReceivedReport received : fleet.live()) {
            NodeReport report = received.report();
            List<VersionTally> reported = report.tallies();
            run.evidence().add(report.node(), report.incarnation(), reported, nowMs);
        }
    }

    /** Returns the time since the order, or, if this node received it late, the least time that fits the share. */
    private long elapsedMs(final ActiveMove run, final VersionMove move) {
        long nowMs = clock.nowMs();
        long minimumElapsedMs = policy.leastElapsedMs(run.order(), move.sharePermille());
        long elapsedMs = nowMs - run.startMs();
        if (elapsedMs < minimumElapsedMs) {
            runs.put(run.order().service(), new ActiveMove(run.order(), nowMs - minimumElapsedMs, run.evidence()));
        }
        return Math.max(elapsedMs, minimumElapsedMs);
    }

    private void decide(final ActiveMove run, final VersionMove move) {
        long elapsedMs = elapsedMs(run, move);
        Optional<MovePolicy.Decision> decision = policy.decide(run.order(), move, elapsedMs, run.evidence());
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
