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
 * Runs the moves for which this node is the first in its failure domain.
 *
 * <p>Several controllers run one move: one in each failure domain, or two in one domain while views of the membership
 * differ. They meet only in the move's progress on the blackboard, which merges as a semilattice: a share only grows
 * and a take-back beats every share, so that no two of them can undo each other's work.
 *
 * <p>Confined to the control thread; never blocks.
 */
public final class RolloutController implements Controller {

    /** Probability with which one controller takes a sound version back, over the whole move. */
    public static final double ERROR_RATE = 2e-3;

    private final String node;
    private final String failureDomain;
    private final Blackboard blackboard;
    private final ServingMembers serving;
    private final RolloutSynchronizer sealer;
    private final VersionAnalyzer.Factory judges;
    private final Clock clock;
    private final ConfiguredMoves moves;
    private final Map<String, MoveExecution> runs = new HashMap<>();

    private RolloutController(
            final String node,
            final String failureDomain,
            final Blackboard blackboard,
            final ServingMembers serving,
            final RolloutSynchronizer sealer,
            final VersionAnalyzer.Factory judges,
            final Clock clock) {
        this.node = node;
        this.failureDomain = failureDomain;
        this.blackboard = blackboard;
        this.serving = serving;
        this.sealer = sealer;
        this.judges = judges;
        this.clock = clock;
        this.moves = ConfiguredMoves.of(blackboard);
    }

    /**
     * Creates a controller.
     *
     * @param node the name of this node, not null.
     * @param failureDomain the failure domain of this node, not null.
     * @param blackboard the blackboard, not null.
     * @param serving which targets serve, not null.
     * @param sealer carries progress to the store, not null.
     * @param judges creates a judge for each move, not null.
     * @param clock the clock, not null.
     * @return the controller, never null.
     */
    public static RolloutController of(
            final String node,
            final String failureDomain,
            final Blackboard blackboard,
            final ServingMembers serving,
            final RolloutSynchronizer sealer,
            final VersionAnalyzer.Factory judges,
            final Clock clock) {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(blackboard, "blackboard");
        Objects.requireNonNull(serving, "serving");
        Objects.requireNonNull(sealer, "sealer");
        Objects.requireNonNull(judges, "judges");
        Objects.requireNonNull(clock, "clock");
        return new RolloutController(node, failureDomain, blackboard, serving, sealer, judges, clock);
    }

    @Override
    public void tick() {
        Set<String> controlled = new HashSet<>();
        for (ServiceConfiguration configuration : moves.moving().values()) {
            if (isController(configuration)) {
                String move = configuration.moveIdentity().orElseThrow();
                controlled.add(move);
                runs.computeIfAbsent(move, key -> begin(configuration)).tick();
            }
        }
        runs.keySet().stream().filter(move -> !controlled.contains(move)).forEach(sealer::forget);
        runs.keySet().retainAll(controlled);
    }

    private MoveExecution begin(final ServiceConfiguration configuration) {
        sealer.follow(configuration.moveIdentity().orElseThrow());
        return new MoveExecution(node, configuration, blackboard, serving, sealer, judges.create(), clock);
    }

    private boolean isController(final ServiceConfiguration configuration) {
        List<String> candidates = serving.nodes(configuration.service()).stream()
                .filter(candidate -> candidate.failureDomain().equals(failureDomain))
                .map(ServingNode::node)
                .toList();
        Optional<String> first =
                RendezvousNodeSelector.first(configuration.moveIdentity().orElseThrow(), candidates);
        return first.filter(node::equals).isPresent();
    }
}
