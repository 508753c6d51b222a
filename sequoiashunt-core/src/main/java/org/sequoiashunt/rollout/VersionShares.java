package org.sequoiashunt.rollout;

import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.configuration.Move;
import org.sequoiashunt.configuration.ServiceConfiguration;

/**
 * Chooses the target version for each request of a service, by the progress of its move.
 *
 * <p>Thread-safe; cheap enough to call for every request. Invariants for a move that is not sealed as done: the new
 * version gets no share after the move was rolled back by any node or stopped on this node, and none while no target
 * of the new version serves; otherwise the new version gets all requests while no target of the old version serves.
 */
public final class VersionShares {

    private final Blackboard blackboard;
    private final ServingMembers servingMembers;
    private final LocallyStoppedMoves stoppedMoves;

    private VersionShares(
            final Blackboard blackboard, final ServingMembers servingMembers, final LocallyStoppedMoves stoppedMoves) {
        this.blackboard = blackboard;
        this.servingMembers = servingMembers;
        this.stoppedMoves = stoppedMoves;
    }

    /**
     * Creates the shares.
     *
     * @param blackboard the blackboard to read, not null.
     * @param servingMembers the nodes that serve each service, not null.
     * @param stoppedMoves the moves that this node has stopped, not null.
     * @return the shares, never null.
     */
    public static VersionShares of(
            final Blackboard blackboard, final ServingMembers servingMembers, final LocallyStoppedMoves stoppedMoves) {
        Objects.requireNonNull(blackboard, "blackboard");
        Objects.requireNonNull(servingMembers, "servingMembers");
        Objects.requireNonNull(stoppedMoves, "stoppedMoves");
        return new VersionShares(blackboard, servingMembers, stoppedMoves);
    }

    /**
     * Chooses the target version for one request.
     *
     * @param configuration the configuration of the service that is in force, not null.
     * @param random the random source, not null.
     * @return the target version, never null.
     */
    public String chooseVersion(final ServiceConfiguration configuration, final RandomGenerator random) {
        Objects.requireNonNull(random, "random");
        Optional<Move> move = configuration.move();
        if (move.isEmpty()) {
            return configuration.version();
        }
        int shareParts = newVersionShareParts(configuration);
        boolean chosen = shareParts > 0
                && (shareParts == RolloutProgress.WHOLE_SHARE_PARTS
                        || random.nextInt(RolloutProgress.WHOLE_SHARE_PARTS) < shareParts);
        return chosen ? move.get().to() : move.get().from();
    }

    /**
     * Returns the share of a service's requests that goes to the new version.
     *
     * @param configuration the configuration of the service that is in force, not null.
     * @return the share in parts per million, from 0 to {@link RolloutProgress#WHOLE_SHARE_PARTS}; zero without a
     *     move or progress.
     */
    public int newVersionShareParts(final ServiceConfiguration configuration) {
        Optional<RolloutProgress> progress = configuration.moveIdentity().flatMap(this::progress);
        if (progress.isEmpty()) {
            return 0;
        }
        Move move = configuration.move().orElseThrow();
        return effectiveShareParts(configuration.service(), move, progress.get());
    }

    private Optional<RolloutProgress> progress(final String move) {
        return blackboard.value(Section.ROLLOUT, move, RolloutProgress.class);
    }

    private int effectiveShareParts(final String service, final Move move, final RolloutProgress progress) {
        if (progress.stage() == Stage.SEALED_DONE) {
            return RolloutProgress.WHOLE_SHARE_PARTS;
        }
        boolean rolledBack = progress.stage() == Stage.TAKEN_BACK || progress.stage() == Stage.SEALED_TAKEN_BACK;
        if (rolledBack || stoppedMoves.isStopped(progress.move()) || !servingMembers.serves(service, move.to())) {
            return 0;
        }
        return servingMembers.serves(service, move.from()) ? progress.shareParts() : RolloutProgress.WHOLE_SHARE_PARTS;
    }
}
