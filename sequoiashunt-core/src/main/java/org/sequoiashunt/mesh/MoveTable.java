package org.sequoiashunt.mesh;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import org.sequoiashunt.fleet.VersionMove;

/**
 * Holds the latest state of each service's traffic move that this node has received from the platform or other nodes.
 *
 * <p>Thread-safe. Invariant: a state is replaced only by one that supersedes it, so that the tables of all nodes
 * converge, whatever the order in which they receive the states.
 */
public final class MoveTable {

    private final Map<String, VersionMove> movesByService = new ConcurrentHashMap<>();

    /**
     * Stores the state of a move if it supersedes the stored one.
     *
     * @param move the state, not null.
     * @return true if the state was stored, false if it was ignored.
     */
    public boolean merge(final VersionMove move) {
        AtomicBoolean changed = new AtomicBoolean();
        movesByService.compute(move.service(), (service, current) -> {
            boolean replaces = current == null || move.supersedes(current);
            changed.set(replaces);
            return replaces ? move : current;
        });
        return changed.get();
    }

    /**
     * Finds the state of a service's latest move.
     *
     * @param service the service, not null.
     * @return the state, or empty if none was received.
     */
    public Optional<VersionMove> find(final String service) {
        return Optional.ofNullable(movesByService.get(service));
    }

    /**
     * Lists the states of all moves.
     *
     * @return the states, never null.
     */
    public Collection<VersionMove> all() {
        return List.copyOf(movesByService.values());
    }
}
