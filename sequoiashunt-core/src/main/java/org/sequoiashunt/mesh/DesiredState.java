package org.sequoiashunt.mesh;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.fleet.VersionMove;
import org.sequoiashunt.move.MoveRequest;

/**
 * What the operator wants, as the platform's store holds it, or what has changed of it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param configuration the document of the configuration, if it has been read.
 * @param orders the orders to move traffic.
 * @param moves where moves stood when that was last recorded.
 * @param revision the revision of the store up to which this is complete.
 */
public record DesiredState(
        Optional<Body> configuration, List<MoveRequest> orders, List<VersionMove> moves, long revision) {

    /**
     * Checks the components and copies the lists.
     *
     * @throws NullPointerException if a component is null.
     */
    public DesiredState {
        Objects.requireNonNull(configuration, "configuration");
        orders = List.copyOf(orders);
        moves = List.copyOf(moves);
    }
}
