package org.sequoiashunt.placement;

import java.util.Objects;
import org.sequoiashunt.fleet.TargetReport;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Target that may take a call.
 *
 * <p>Immutable and thread-safe.
 *
 * @param node the node beside it.
 * @param address the link address of the node.
 * @param distance how far the node is.
 * @param report the target as its gate sees it.
 * @param reportAgeMs the age of the report, in milliseconds.
 * @param sentSince the calls sent to it by this node since the report that have not ended.
 */
public record PlacementCandidate(
        String node, NodeAddress address, Distance distance, TargetReport report, long reportAgeMs, int sentSince) {

    /** A call that starts at a target that still warms up takes about this many times as long. */
    private static final double WARMUP_FACTOR = 2;

    /** Share of the slots above which targets slow down. */
    private static final double CROWDED = 0.75;

    /** How much longer a call takes on a target with every slot in use. */
    private static final double CROWDED_FACTOR = 0.25;

    private static final double PERMILLE = 1_000;

    /** A target that fails more often than this is not worth an attempt while another one is sound. */
    private static final double WORST_FAILURE_SHARE = 0.9;

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     */
    public PlacementCandidate {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(distance, "distance");
        Objects.requireNonNull(report, "report");
    }

    /**
     * Estimates the calls that run or wait there.
     *
     * @return the number.
     */
    public int load() {
        return report.running() + report.waiting() + sentSince;
    }

    /**
     * Estimates how long a call would wait for a slot.
     *
     * @return the time in milliseconds.
     */
    public double waitMs() {
        int excess = load() + 1 - report.slots();
        return excess <= 0 ? 0 : excess * (double) report.meanMs() / report.slots();
    }

    /**
     * Estimates the time to the answer.
     *
     * @param route the name of the route, not null.
     * @return the time in milliseconds.
     */
    public double finishMs(final String route) {
        double serviceMs = report.meanRouteMs(route);
        if (report.warmupLeftMs() > reportAgeMs) {
            serviceMs *= WARMUP_FACTOR;
        }
        double crowding = Math.max(0, Math.min(1, load() / (double) report.slots()) - CROWDED) / (1 - CROWDED);
        return distance.roundTripMs() + waitMs() + serviceMs * (1 + CROWDED_FACTOR * crowding);
    }

    /**
     * Returns the share of recent calls that failed there.
     *
     * @return the share, from 0 to {@value #WORST_FAILURE_SHARE}.
     */
    public double failureShare() {
        return Math.min(WORST_FAILURE_SHARE, report.failurePermille() / PERMILLE);
    }
}
