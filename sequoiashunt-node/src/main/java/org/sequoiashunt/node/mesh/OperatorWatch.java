package org.sequoiashunt.node.mesh;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.sequoiashunt.blackboard.BlockingTask;
import org.sequoiashunt.mesh.DesiredState;
import org.sequoiashunt.mesh.MeshPlatform;
import org.sequoiashunt.mesh.WatcherSelection;
import org.sequoiashunt.store.StoreException;
import org.sequoiashunt.time.Clock;

/**
 * Watches the operator's desired state in the platform's store and passes it on.
 *
 * <p>Watches only while {@link WatcherSelection} selects this node. Each watch has a short timeout, since a watch may
 * hang without an error. Changes in quick succession are coalesced: the node pauses and then reads the latest state
 * instead of each version.
 *
 * <p>Confined to the thread of its loop.
 */
final class OperatorWatch implements BlockingTask {

    /** Longest duration of a watch; one that ends without a change is followed by a read that confirms the state. */
    private static final long WATCH_TIMEOUT_MS = 800;

    /** Time between two checks of the selection by a node that does not watch. */
    private static final long NOT_WATCHING_PAUSE_MS = 200;

    /** Changes closer to each other than this are coalesced. */
    private static final long COALESCING_WINDOW_MS = 900;

    /** Pause before the latest state is read when changes are coalesced. */
    private static final long COALESCING_PAUSE_MS = 250;

    private static final long FIRST_RETRY_MS = 150;
    private static final long MAXIMUM_RETRY_MS = 900;

    private final WatcherSelection watcherSelection;
    private final MeshPlatform platform;
    private final Clock clock;
    private final RandomGenerator random;
    private final Consumer<DesiredState> onChange;
    private final StoreHealth health;
    private long revision = -1;
    private long lastChangeMs;
    private long retryMs = FIRST_RETRY_MS;

    OperatorWatch(
            final WatcherSelection watcherSelection,
            final MeshPlatform platform,
            final Clock clock,
            final RandomGenerator random,
            final Consumer<DesiredState> onChange,
            final StoreHealth health) {
        this.watcherSelection = Objects.requireNonNull(watcherSelection, "watcherSelection");
        this.platform = Objects.requireNonNull(platform, "platform");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.random = Objects.requireNonNull(random, "random");
        this.onChange = Objects.requireNonNull(onChange, "onChange");
        this.health = Objects.requireNonNull(health, "health");
        this.lastChangeMs = clock.nowMs() - COALESCING_WINDOW_MS;
    }

    @Override
    public long step() {
        if (!watcherSelection.shouldWatch()) {
            revision = -1;
            return NOT_WATCHING_PAUSE_MS;
        }
        try {
            long pauseMs = revision < 0 ? read() : watch();
            health.recordSuccess();
            retryMs = FIRST_RETRY_MS;
            return pauseMs;
        } catch (StoreException exception) {
            health.recordFailure("operator", exception.getMessage());
            long pauseMs = retryMs / 2 + random.nextLong(retryMs);
            retryMs = Math.min(MAXIMUM_RETRY_MS, retryMs * 2);
            return pauseMs;
        }
    }

    private long read() throws StoreException {
        DesiredState state = platform.readDesiredState();
        onChange.accept(state);
        revision = state.revision();
        watcherSelection.recordConfirmation();
        // Nodes that start before the first configuration learn of each other meanwhile, so that few of them watch.
        return state.configuration().isPresent() ? 0 : NOT_WATCHING_PAUSE_MS;
    }

    private long watch() throws StoreException {
        Optional<DesiredState> changed = platform.watch(revision, WATCH_TIMEOUT_MS);
        if (changed.isEmpty()) {
            revision = -1;
            return 0;
        }
        DesiredState state = changed.get();
        revision = Math.max(revision, state.revision());
        onChange.accept(state);
        watcherSelection.recordConfirmation();
        if (state.configuration().isEmpty() && state.moveRequests().isEmpty()) {
            return 0;
        }
        long nowMs = clock.nowMs();
        boolean withinCoalescingWindow = nowMs - lastChangeMs < COALESCING_WINDOW_MS;
        lastChangeMs = nowMs;
        if (withinCoalescingWindow) {
            revision = -1;
            return COALESCING_PAUSE_MS;
        }
        return 0;
    }
}
