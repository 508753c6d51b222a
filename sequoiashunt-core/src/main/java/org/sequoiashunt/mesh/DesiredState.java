package org.sequoiashunt.mesh;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.fleet.Evacuation;
import org.sequoiashunt.fleet.VersionMove;
import org.sequoiashunt.move.MoveRequest;

/**
 * The configuration and traffic moves that the operator requested, read from the platform's store as a whole or as the
 * changes since a revision.
 *
 * <p>Immutable and thread-safe.
 *
 * @param configuration the configuration document; empty if the store has none or it has not changed.
 * @param moveRequests the operator's requests to move traffic to a version.
 * @param moves the recorded states of moves.
 * @param evacuations the orders to evacuate failure domains; their revocations too if this state lists changes.
 * @param complete whether the state was read as a whole, so that orders which it does not list are revoked.
 * @param revision the revision of the store up to which this state is complete.
 */
public record DesiredState(
        Optional<Body> configuration,
        List<MoveRequest> moveRequests,
        List<VersionMove> moves,
        List<Evacuation> evacuations,
        boolean complete,
        long revision) {

    /**
     * Checks the components and copies the lists.
     *
     * @throws NullPointerException if a component is null.
     */
    public DesiredState {
        Objects.requireNonNull(configuration, "configuration");
        moveRequests = List.copyOf(moveRequests);
        moves = List.copyOf(moves);
        evacuations = List.copyOf(evacuations);
    }
}
