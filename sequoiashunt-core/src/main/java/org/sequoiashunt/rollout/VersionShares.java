package org.sequoiashunt.rollout;

import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.configuration.Move;
import org.sequoiashunt.configuration.ServiceConfiguration;

/**
 * Tells the routing which target version gets the next request of a service.
 *
 * <p>Thread-safe; cheap enough for every request. Invariants: a move that was taken back, here or anywhere, gets no
 * share; the new version gets no share while no target of it is known to serve.
 */
public final class VersionShares {

    private final Blackboard blackboard;
    private final ServingMembers serving;
    private final LocallyStoppedMoves stops;

    private VersionShares(final Blackboard blackboard, final ServingMembers serving, final LocallyStoppedMoves stops) {
        this.blackboard = blackboard;
        this.serving = serving;
        this.stops = stops;
    }

    /**
     * Creates a view.
     *
     * @param blackboard the blackboard to read, not null.
     * @param serving which targets serve, not null.
     * @param stops moves that this node has stopped by itself, not null.
     * @return the view, never null.
     */
    public static VersionShares of(
            final Blackboard blackboard, final ServingMembers serving, final LocallyStoppedMoves stops) {
        Objects.requireNonNull(blackboard, "blackboard");
        Objects.requireNonNull(serving, "serving");
        Objects.requireNonNull(stops, "stops");
        return new VersionShares(blackboard, serving, stops);
    }

    /**
     * Chooses the target version for one request.
     *
     * @param configuration the service's configuration in force, not null.
     * @param random the source of chance, not null.
     * @return the target version, never null.
     */
    public String chooseVersion(final ServiceConfiguration configuration, final RandomGenerator random) {
        Objects.requireNonNull(random, "random");
        Optional<Move> move = configuration.move();
        if (move.isEmpty()) {
            return configuration.version();
        }
        int share = newVersionShare(configuration);
        boolean chosen = share > 0
                && (share == RolloutProgress.WHOLE_SHARE_PARTS
                        || random.nextInt(RolloutProgress.WHOLE_SHARE_PARTS) < share);
        return chosen ? move.get().to() : move.get().from();
    }

    /**
     * Returns the share of a service's requests that goes to the new version.
     *
     * @param configuration the service's configuration in force, not null.
     * @return the share in parts per million; zero without a move.
     */
    public int newVersionShare(final ServiceConfiguration configuration) {
        Optional<RolloutProgress> progress = configuration.moveIdentity().flatMap(this::progress);
        if (progress.isEmpty()) {
            return 0;
        }
        Move move = configuration.move().orElseThrow();
        return share(configuration.service(), move, progress.get());
    }

    private Optional<RolloutProgress> progress(final String move) {
        return blackboard.value(Section.ROLLOUT, move, RolloutProgress.class);
    }

    private int share(final String service, final Move move, final RolloutProgress progress) {
        if (progress.stage() == Stage.SEALED_DONE) {
            return RolloutProgress.WHOLE_SHARE_PARTS;
        }
        boolean withdrawn = progress.stage() == Stage.TAKEN_BACK || progress.stage() == Stage.SEALED_TAKEN_BACK;
        if (withdrawn || stops.isStopped(progress.move()) || !serving.serves(service, move.to())) {
            return 0;
        }
        return serving.serves(service, move.from()) ? progress.shareParts() : RolloutProgress.WHOLE_SHARE_PARTS;
    }
}
