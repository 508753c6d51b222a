package org.sequoiashunt.mesh;

import java.util.Collection;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import org.sequoiashunt.fleet.VersionMove;
import org.sequoiashunt.time.Clock;

/**
 * Holds the latest move of each service's traffic between versions.
 *
 * <p>Thread-safe. Invariant: a value never regresses, since {@link VersionMove#merge} only advances it. Tables that
 * have received the same values hold the same states, in whatever order they arrived.
 */
public final class MoveTable {

    private final Clock clock;
    private final Map<String, TimedMove> movesByService = new ConcurrentHashMap<>();

    /**
     * Creates an empty table.
     *
     * @param clock the clock, not null.
     */
    public MoveTable(final Clock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Merges a move with the one of its service.
     *
     * @param move the move, not null.
     * @return true if the merged move differs from the previous one in more than its elapsed time.
     */
    public boolean merge(final VersionMove move) {
        AtomicBoolean changed = new AtomicBoolean();
        long nowMs = clock.nowMs();
        movesByService.compute(move.service(), (service, current) -> {
            VersionMove known = current == null ? null : current.at(nowMs);
            VersionMove merged = known == null ? move : known.merge(move);
            changed.set(known == null || !merged.withElapsed(0).equals(known.withElapsed(0)));
            return new TimedMove(merged, nowMs - merged.elapsedMs());
        });
        return changed.get();
    }

    /**
     * Finds the latest move of a service.
     *
     * @param service the service, not null.
     * @return the move with its current elapsed time, or empty if none was received.
     */
    public Optional<VersionMove> find(final String service) {
        return Optional.ofNullable(movesByService.get(service)).map(timed -> timed.at(clock.nowMs()));
    }

    /**
     * Lists the moves of all services.
     *
     * @return the moves with their current elapsed times, never null.
     */
    public Collection<VersionMove> all() {
        long nowMs = clock.nowMs();
        return movesByService.values().stream().map(timed -> timed.at(nowMs)).toList();
    }

    /** A move and the time of its order on the local clock. Immutable and thread-safe. */
    private record TimedMove(VersionMove move, long orderedMs) {

        private VersionMove at(final long nowMs) {
            return move.withElapsed(Math.max(0, nowMs - orderedMs));
        }
    }
}
