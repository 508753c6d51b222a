package org.sequoiashunt.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Controller;
import org.sequoiashunt.configuration.ServiceConfiguration;
import org.sequoiashunt.rollout.ServingMembers.ServingNode;
import org.sequoiashunt.time.Clock;

/**
 * Executes the moves for which this node is the selected controller of its failure domain.
 *
 * <p>Several controllers execute one move: one in each failure domain, or two in one domain while their views of the
 * membership differ. They share only the move's progress on the blackboard, which merges as a semilattice: a share
 * only increases, and a rollback overrides every share. So controllers cannot undo each other's changes.
 *
 * <p>Confined to the control thread; never blocks.
 */
public final class RolloutController implements Controller {

    /** Highest probability with which one controller rolls a healthy version back, over the whole move. */
    public static final double ERROR_RATE = 2e-3;

    private final String node;
    private final String failureDomain;
    private final Blackboard blackboard;
    private final ServingMembers servingMembers;
    private final RolloutSynchronizer synchronizer;
    private final VersionAnalyzer.Factory analyzerFactory;
    private final Clock clock;
    private final ConfiguredMoves configuredMoves;
    private final Map<String, MoveExecution> executions = new HashMap<>();

    private RolloutController(
            final String node,
            final String failureDomain,
            final Blackboard blackboard,
            final ServingMembers servingMembers,
            final RolloutSynchronizer synchronizer,
            final VersionAnalyzer.Factory analyzerFactory,
            final Clock clock) {
        this.node = node;
        this.failureDomain = failureDomain;
        this.blackboard = blackboard;
        this.servingMembers = servingMembers;
        this.synchronizer = synchronizer;
        this.analyzerFactory = analyzerFactory;
        this.clock = clock;
        this.configuredMoves = ConfiguredMoves.of(blackboard);
    }

    /**
     * Creates a controller.
     *
     * @param node the name of this node, not null.
     * @param failureDomain the failure domain of this node, not null.
     * @param blackboard the blackboard to read moves from and to write their progress to, not null.
     * @param servingMembers the nodes that serve each service, not null.
     * @param synchronizer writes progress to the store, not null.
     * @param analyzerFactory creates an analyzer for each move, not null.
     * @param clock the clock, not null.
     * @return the controller, never null.
     */
    public static RolloutController of(
            final String node,
            final String failureDomain,
            final Blackboard blackboard,
            final ServingMembers servingMembers,
            final RolloutSynchronizer synchronizer,
            final VersionAnalyzer.Factory analyzerFactory,
            final Clock clock) {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(blackboard, "blackboard");
        Objects.requireNonNull(servingMembers, "servingMembers");
        Objects.requireNonNull(synchronizer, "synchronizer");
        Objects.requireNonNull(analyzerFactory, "analyzerFactory");
        Objects.requireNonNull(clock, "clock");
        return new RolloutController(
                node, failureDomain, blackboard, servingMembers, synchronizer, analyzerFactory, clock);
    }

    @Override
    public void tick() {
        Set<String> controlledMoves = new HashSet<>();
        for (ServiceConfiguration configuration :
                configuredMoves.movingServices().values()) {
            if (isController(configuration)) {
                String move = configuration.moveIdentity().orElseThrow();
                controlledMoves.add(move);
                executions
                        .computeIfAbsent(move, key -> startExecution(configuration))
                        .tick();
            }
        }
        executions.keySet().stream()
                .filter(move -> !controlledMoves.contains(move))
                .forEach(synchronizer::stopSynchronizing);
        executions.keySet().retainAll(controlledMoves);
    }

    private MoveExecution startExecution(final ServiceConfiguration configuration) {
        synchronizer.startReading(configuration.moveIdentity().orElseThrow());
        return new MoveExecution(
                node, configuration, blackboard, servingMembers, synchronizer, analyzerFactory.create(), clock);
    }

    private boolean isController(final ServiceConfiguration configuration) {
        List<String> candidates = servingMembers.nodes(configuration.service()).stream()
                .filter(candidate -> candidate.failureDomain().equals(failureDomain))
                .map(ServingNode::node)
                .toList();
        Optional<String> selected =
                RendezvousNodeSelector.select(configuration.moveIdentity().orElseThrow(), candidates);
        return selected.filter(node::equals).isPresent();
    }
}
