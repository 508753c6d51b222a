package org.sequoiashunt.mesh;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import org.sequoiashunt.fleet.VersionMove;

/**
 * States of the moves of traffic, as far as this node has heard from the platform and from other nodes.
 *
 * <p>Thread-safe. Invariant: a standing is only ever replaced by one that supersedes it, so that all nodes agree in the
 * end, whatever order they hear in.
 */
public final class MoveTable {

    private final Map<String, VersionMove> moves = new ConcurrentHashMap<>();

    /**
     * Takes a standing.
     *
     * @param move the standing, not null.
     * @return true if it replaced the known one.
     */
    public boolean merge(final VersionMove move) {
        AtomicBoolean changed = new AtomicBoolean();
        moves.compute(move.service(), (service, known) -> {
            boolean later = known == null || move.supersedes(known);
            changed.set(later);
            return later ? move : known;
        });
        return changed.get();
    }

    /**
     * Finds the standing of a service's latest move.
     *
     * @param service the service, not null.
     * @return the standing, or empty if no move was ordered.
     */
    public Optional<VersionMove> find(final String service) {
        return Optional.ofNullable(moves.get(service));
    }

    /**
     * Lists all standings.
     *
     * @return the standings, never null.
     */
    public Collection<VersionMove> all() {
        return List.copyOf(moves.values());
    }
}
