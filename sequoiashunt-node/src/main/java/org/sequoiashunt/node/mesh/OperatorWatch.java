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
 * Follows what the operator wants.
 *
 * <p>Watches while {@link WatcherSelection} says so. Waits are short, since a watch may hang without a sign. Changes in
 * quick succession are joined: the node pauses and then reads the latest state, rather than taking each version in
 * turn.
 *
 * <p>Confined to the thread of its loop.
 */
final class OperatorWatch implements BlockingTask {

    /** Longest wait of a watch: each one that ends without a change confirms what the nodes know. */
    private static final long WAIT_MS = 800;

    /** Pause of a node that need not watch: it looks at the confirmations of others this often. */
    private static final long OFF_DUTY_MS = 200;

    /** Changes closer to each other than this are joined. */
    private static final long SUCCESSION_MS = 900;

    /** Pause before changes in quick succession are read. */
    private static final long JOIN_PAUSE_MS = 250;

    private static final long FIRST_RETRY_MS = 150;
    private static final long LONGEST_RETRY_MS = 900;

    private final WatcherSelection duty;
    private final MeshPlatform platform;
    private final Clock clock;
    private final RandomGenerator random;
    private final Consumer<DesiredState> changes;
    private final StoreHealth health;
    private long revision = -1;
    private long changedMs;
    private long retryMs = FIRST_RETRY_MS;

    OperatorWatch(
            final WatcherSelection duty,
            final MeshPlatform platform,
            final Clock clock,
            final RandomGenerator random,
            final Consumer<DesiredState> changes,
            final StoreHealth health) {
        this.duty = Objects.requireNonNull(duty, "duty");
        this.platform = Objects.requireNonNull(platform, "platform");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.random = Objects.requireNonNull(random, "random");
        this.changes = Objects.requireNonNull(changes, "changes");
        this.health = Objects.requireNonNull(health, "health");
        this.changedMs = clock.nowMs() - SUCCESSION_MS;
    }

    @Override
    public long step() {
        if (!duty.shouldWatch()) {
            revision = -1;
            return OFF_DUTY_MS;
        }
        try {
            long pauseMs = revision < 0 ? read() : watch();
            health.answered();
            retryMs = FIRST_RETRY_MS;
            return pauseMs;
        } catch (StoreException exception) {
            health.failed("operator", exception.getMessage());
            long pauseMs = retryMs / 2 + random.nextLong(retryMs);
            retryMs = Math.min(LONGEST_RETRY_MS, retryMs * 2);
            return pauseMs;
        }
    }

    private long read() throws StoreException {
        DesiredState state = platform.readDesiredState();
        changes.accept(state);
        revision = state.revision();
        duty.recordConfirmation();
        return 0;
    }

    private long watch() throws StoreException {
        Optional<DesiredState> changed = platform.watch(revision, WAIT_MS);
        if (changed.isEmpty()) {
            revision = -1;
            return 0;
        }
        DesiredState state = changed.get();
        revision = Math.max(revision, state.revision());
        changes.accept(state);
        duty.recordConfirmation();
        if (state.configuration().isEmpty() && state.moveRequests().isEmpty()) {
            return 0;
        }
        long nowMs = clock.nowMs();
        boolean succession = nowMs - changedMs < SUCCESSION_MS;
        changedMs = nowMs;
        if (succession) {
            revision = -1;
            return JOIN_PAUSE_MS;
        }
        return 0;
    }
}
