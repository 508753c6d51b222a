package org.sequoiashunt.node.mesh;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.sequoiashunt.blackboard.BlockingTask;
import org.sequoiashunt.fleet.MoveState;
import org.sequoiashunt.fleet.VersionMove;
import org.sequoiashunt.mesh.MeshPlatform;
import org.sequoiashunt.mesh.MoveTable;
import org.sequoiashunt.store.StoreException;

/**
 * Records the states of moves of traffic in the platform's store while this node decides about moves.
 *
 * <p>Confined to the thread of its loop. Invariant: the write of a state is retried until the store has answered.
 */
final class MoveRecorder implements BlockingTask {

    private static final long RECORDING_PERIOD_MS = 150;

    /** Time between two steps while no moves exist or another node decides about them. */
    private static final long IDLE_PERIOD_MS = 800;

    private static final long RETRY_MS = 400;

    private final MeshPlatform platform;
    private final MoveTable moveTable;
    private final MoveController controller;
    private final StoreHealth health;
    private final Map<String, VersionMove> recordedMoves = new HashMap<>();

    MoveRecorder(
            final MeshPlatform platform,
            final MoveTable moveTable,
            final MoveController controller,
            final StoreHealth health) {
        this.platform = Objects.requireNonNull(platform, "platform");
        this.moveTable = Objects.requireNonNull(moveTable, "moveTable");
        this.controller = Objects.requireNonNull(controller, "controller");
        this.health = Objects.requireNonNull(health, "health");
    }

    @Override
    public long step() {
        if (moveTable.all().isEmpty() || !controller.isDecisionMaker()) {
            return IDLE_PERIOD_MS;
        }
        try {
            for (VersionMove move : moveTable.all()) {
                if (needsRecording(move)) {
                    VersionMove stored = platform.record(move);
                    recordedMoves.put(move.service(), move);
                    moveTable.merge(stored);
                    health.recordSuccess();
                }
            }
            return RECORDING_PERIOD_MS;
        } catch (StoreException exception) {
            health.recordFailure("moves", exception.getMessage());
            return RETRY_MS;
        }
    }

    /** Ignores changes of the share: the operator reads the state of a move only. */
    private boolean needsRecording(final VersionMove move) {
        VersionMove lastRecorded = recordedMoves.get(move.service());
        boolean unchanged =
                lastRecorded != null && lastRecorded.order() == move.order() && lastRecorded.state() == move.state();
        return !unchanged && (move.state() != MoveState.RUNNING || controller.hasOrder(move));
    }
}
