package org.sequoiashunt.node.mesh;

import java.util.Objects;
import org.sequoiashunt.time.Clock;

/**
 * Tracks whether the platform's store answers this node and logs the start and the end of each outage.
 *
 * <p>Thread-safe: guarded by this object's monitor.
 */
final class StoreHealth {

    private final Clock clock;
    private final DecisionLog log;
    private long failingSinceMs = -1;

    StoreHealth(final Clock clock, final DecisionLog log) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.log = Objects.requireNonNull(log, "log");
    }

    synchronized void recordSuccess() {
        if (failingSinceMs >= 0) {
            log.log(LogKind.STORE, "change", "regained", "afterMs", clock.nowMs() - failingSinceMs);
            failingSinceMs = -1;
        }
    }

    synchronized void recordFailure(final String task, final String reason) {
        if (failingSinceMs < 0) {
            failingSinceMs = clock.nowMs();
            log.log(LogKind.STORE, "change", "lost", "task", task, "reason", reason);
        }
    }
}
