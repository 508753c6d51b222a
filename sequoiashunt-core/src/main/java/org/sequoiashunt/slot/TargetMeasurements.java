package org.sequoiashunt.slot;

import java.util.List;
import org.sequoiashunt.fleet.RouteTime;

/**
 * What a gate has measured at its target, and what the target has stated of its VM.
 *
 * <p>Not thread-safe: the owner guards it by a lock.
 */
final class TargetMeasurements {

    private final TargetMovingAverages averages = new TargetMovingAverages();
    /** Durations at the usual pace of the VM: those of calls that ran while it was slow, divided by its pace. */
    private final TargetMovingAverages usualPaceAverages = new TargetMovingAverages();

    private final TargetPace pace = new TargetPace();

    /** Records the end of a call that was not cancelled. */
    void recordCall(final String route, final long durationMs, final boolean failed, final long nowMs) {
        averages.recordCall(route, durationMs, failed);
        double percent = pace.expectedPercent(nowMs);
        usualPaceAverages.recordCall(route, Math.round(durationMs * TargetPace.USUAL_PERCENT / percent), failed);
    }

    /** Records the pace that the target has stated; one of zero is ignored. */
    void recordPace(final int percent, final long nowMs) {
        pace.record(percent, nowMs);
    }

    /** Returns the mean duration of a route's calls as measured, in milliseconds. */
    long meanMs(final String route, final long defaultMs) {
        return averages.meanMs(route, defaultMs);
    }

    /** Returns the number of calls of a route that did not fail. */
    int answers(final String route) {
        return averages.answers(route);
    }

    void decayFailureShare() {
        averages.decayFailureShare();
    }

    int failurePermille() {
        return averages.failurePermille();
    }

    /** Returns the mean durations by route, at the usual pace or as measured. */
    List<RouteTime> routeTimes(final boolean atUsualPace) {
        return (atUsualPace ? usualPaceAverages : averages).routeTimes();
    }

    /** Returns the pace for a report, zero if it is not known. */
    int reportedPercent(final long nowMs) {
        return pace.reportedPercent(nowMs);
    }
}
