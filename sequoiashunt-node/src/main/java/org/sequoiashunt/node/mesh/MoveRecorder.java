package org.sequoiashunt.node.mesh;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.IntSupplier;
import org.sequoiashunt.blackboard.BlockingTask;
import org.sequoiashunt.fleet.MoveState;
import org.sequoiashunt.fleet.VersionMove;
import org.sequoiashunt.mesh.MeshPlatform;
import org.sequoiashunt.mesh.MoveTable;
import org.sequoiashunt.store.StoreException;
import org.sequoiashunt.time.Clock;

/**
 * Records the states of moves of traffic in the platform's store.
 *
 * <p>The node that decides records them. The next nodes by rank do so if a state stays unrecorded for long, since the
 * deciding node may be cut off from the store alone.
 *
 * <p>Confined to the thread of its loop. Invariant: the write of a state is retried until the store has answered.
 * When the store came back from an older copy, all records are checked twice and written where they are lost.
 */
final class MoveRecorder implements BlockingTask {

    private static final long RECORDING_PERIOD_MS = 150;

    /** Time between two steps while all states are recorded or other nodes record them. */
    private static final long IDLE_PERIOD_MS = 800;

    private static final long RETRY_MS = 400;

    /** Time per rank for which a state must be unrecorded: the report of a recorded state takes less to arrive. */
    private static final long TAKEOVER_DELAY_MS = 3_000;

    /**
     * Time after which a record is checked once more in a new era of the store: a node that had read it before the
     * restore may write over it until its call times out, and then reports the state that it had.
     */
    private static final long SECOND_CHECK_DELAY_MS = 4_000;

    /** Highest rank that records; it covers two nodes without the store. */
    private static final int MAXIMUM_RECORDING_RANK = 2;

    private final MeshPlatform platform;
    private final MoveTable moveTable;
    private final IntSupplier rank;
    private final StoreHealth health;
    private final Clock clock;
    private final Map<String, UnrecordedState> unrecordedStates = new HashMap<>();

    /** The last check of the record of each service in an era. */
    private final Map<String, EraCheck> eraChecks = new HashMap<>();

    MoveRecorder(
            final MeshPlatform platform,
            final MoveTable moveTable,
            final IntSupplier rank,
            final StoreHealth health,
            final Clock clock) {
        this.platform = Objects.requireNonNull(platform, "platform");
        this.moveTable = Objects.requireNonNull(moveTable, "moveTable");
        this.rank = Objects.requireNonNull(rank, "rank");
        this.health = Objects.requireNonNull(health, "health");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    @Override
    public long step() {
        boolean hasRunningMove = false;
        int currentRank = rank.getAsInt();
        try {
            for (VersionMove move : moveTable.all()) {
                hasRunningMove |= !move.state().isTerminal();
                if (needsRecording(move) && unrecordedMs(move) >= currentRank * TAKEOVER_DELAY_MS) {
                    long era = platform.storeEra();
                    moveTable.merge(platform.record(move));
                    recordCheck(move.service(), era);
                    health.recordSuccess();
                }
            }
            return hasRunningMove && currentRank == 0 ? RECORDING_PERIOD_MS : IDLE_PERIOD_MS;
        } catch (StoreException exception) {
            health.recordFailure("moves", exception.getMessage());
            return currentRank == 0 ? RETRY_MS : IDLE_PERIOD_MS;
        }
    }

    /** Ignores changes of the share, since the operator reads only states, and orders that are not known in full. */
    private boolean needsRecording(final VersionMove move) {
        return (!move.recorded() || needsCheck(move.service()))
                && rank.getAsInt() <= MAXIMUM_RECORDING_RANK
                && (move.state() != MoveState.RUNNING || move.durationMs() > 0);
    }

    /** Returns whether the store came back from an older copy, which may lack the record or get another one. */
    private boolean needsCheck(final String service) {
        EraCheck last = eraChecks.getOrDefault(service, EraCheck.NONE);
        return last.era() < platform.storeEra() || last.first() && clock.nowMs() - last.atMs() >= SECOND_CHECK_DELAY_MS;
    }

    private void recordCheck(final String service, final long era) {
        boolean first = eraChecks.getOrDefault(service, EraCheck.NONE).era() < era;
        if (first || needsCheck(service)) {
            eraChecks.put(service, new EraCheck(era, first, clock.nowMs()));
        }
    }

    private long unrecordedMs(final VersionMove move) {
        long nowMs = clock.nowMs();
        UnrecordedState seen = unrecordedStates.get(move.service());
        long era = platform.storeEra();
        if (seen == null || seen.order() != move.order() || seen.state() != move.state() || seen.era() != era) {
            seen = new UnrecordedState(move.order(), move.state(), era, nowMs);
            unrecordedStates.put(move.service(), seen);
        }
        return nowMs - seen.sinceMs();
    }

    /** State of a move and when this node first saw it unrecorded. Immutable and thread-safe. */
    private record UnrecordedState(long order, MoveState state, long era, long sinceMs) {}

    /** A check of a record in an era, whether it was the first one, and its time. Immutable and thread-safe. */
    private record EraCheck(long era, boolean first, long atMs) {

        private static final EraCheck NONE = new EraCheck(0, false, 0);
    }
}
