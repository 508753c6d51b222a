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
 * Records the moves of traffic in the platform's store while this node controls them.
 *
 * <p>Confined to the thread of its loop. Invariant: a standing is recorded again until the store has answered.
 */
final class MoveRecorder implements BlockingTask {

    private static final long PERIOD_MS = 150;

    /** Time between two looks while there is nothing to record. */
    private static final long IDLE_PERIOD_MS = 400;

    private static final long RETRY_MS = 400;

    private final MeshPlatform platform;
    private final MoveTable board;
    private final MoveController controller;
    private final StoreHealth health;
    private final Map<String, VersionMove> recorded = new HashMap<>();

    MoveRecorder(
            final MeshPlatform platform,
            final MoveTable board,
            final MoveController controller,
            final StoreHealth health) {
        this.platform = Objects.requireNonNull(platform, "platform");
        this.board = Objects.requireNonNull(board, "board");
        this.controller = Objects.requireNonNull(controller, "controller");
        this.health = Objects.requireNonNull(health, "health");
    }

    @Override
    public long step() {
        if (board.all().isEmpty() || !controller.inControl()) {
            return IDLE_PERIOD_MS;
        }
        try {
            for (VersionMove move : board.all()) {
                if (needsRecord(move)) {
                    VersionMove stored = platform.record(move);
                    recorded.put(move.service(), move);
                    board.merge(stored);
                    health.answered();
                }
            }
            return PERIOD_MS;
        } catch (StoreException exception) {
            health.failed("moves", exception.getMessage());
            return RETRY_MS;
        }
    }

    /** The operator reads the state alone: growing shares are not recorded. */
    private boolean needsRecord(final VersionMove move) {
        VersionMove known = recorded.get(move.service());
        boolean same = known != null && known.order() == move.order() && known.state() == move.state();
        return !same && (move.state() != MoveState.RUNNING || controller.hasOrder(move));
    }
}
