package org.sequoiashunt.node;

import java.util.Objects;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.execution.CrashTracker;
import org.sequoiashunt.gate.Admission;
import org.sequoiashunt.gate.CrashPolicy;

/**
 * Puts a crash tracker in front of a gate's targets. Immutable and thread-safe.
 */
final class CrashTrackerPolicy implements CrashPolicy {

    private final CrashTracker tracker;

    CrashTrackerPolicy(final CrashTracker tracker) {
        this.tracker = Objects.requireNonNull(tracker, "tracker");
    }

    @Override
    public Admission admit(final CallRequest request) {
        return switch (tracker.admit(request)) {
            case NORMAL -> Admission.NORMAL;
            case ALONE -> Admission.ALONE;
            case REFUSE -> Admission.REFUSE;
        };
    }

    @Override
    public void ended(final CallRequest request, final CallResult result, final boolean ranAlone) {
        tracker.ended(request, result, ranAlone);
    }
}
