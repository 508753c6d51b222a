package org.sequoiashunt.node.mesh;

import org.sequoiashunt.crash.CrashTable;
import org.sequoiashunt.time.Clock;

/** Creates crash guards for tests of other classes. */
final class CrashGuards {

    private CrashGuards() {}

    static CrashGuard unused(final Clock clock, final DecisionLog log) {
        return new CrashGuard(
                new CrashGuard.Dependencies(new CrashTable(clock), "Caller", clock, () -> {}, log, new MeshMetrics()));
    }
}
