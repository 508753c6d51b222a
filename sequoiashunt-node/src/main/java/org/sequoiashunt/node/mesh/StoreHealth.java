package org.sequoiashunt.node.mesh;

import java.util.Objects;
import org.sequoiashunt.time.Clock;

/**
 * Whether the platform's store answers this node. Logs the moments at which that changes.
 *
 * <p>Thread-safe: guarded by its own monitor.
 */
final class StoreHealth {

    private final Clock clock;
    private final DecisionLog log;
    private long failingSinceMs = -1;

    StoreHealth(final Clock clock, final DecisionLog log) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.log = Objects.requireNonNull(log, "log");
    }

    synchronized void answered() {
        if (failingSinceMs >= 0) {
            log.log(LogKind.STORE, "change", "regained", "afterMs", clock.nowMs() - failingSinceMs);
            failingSinceMs = -1;
        }
    }

    synchronized void failed(final String task, final String reason) {
        if (failingSinceMs < 0) {
            failingSinceMs = clock.nowMs();
            log.log(LogKind.STORE, "change", "lost", "task", task, "reason", reason);
        }
    }
}
