package org.sequoiashunt.placement;

import java.util.Objects;
import org.sequoiashunt.fleet.RouteTime;
import org.sequoiashunt.fleet.TargetReport;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Target to which a call may be sent, with the data that placement needs to estimate its answer time.
 *
 * <p>Immutable and thread-safe.
 *
 * @param node the name of the node that gates the target, not null.
 * @param address the link address of that node, not null.
 * @param distance the distance to that node, not null.
 * @param report the latest report of the target's gate, not null.
 * @param reportAgeMs the age of the report, in milliseconds.
 * @param callsSentSinceReport the number of unfinished calls that this node sent to the target after the report.
 * @param failureDomain the failure domain of the node, not null.
 * @param region the region of the node, not null.
 */
public record PlacementCandidate(
        String node,
        NodeAddress address,
        Distance distance,
        TargetReport report,
        long reportAgeMs,
        int callsSentSinceReport,
        String failureDomain,
        String region) {

    /** Factor on the service time of a call that starts while the target warms up. */
    private static final double WARMUP_FACTOR = 2;

    /** Share of slots in use above which targets become slower. */
    private static final double HIGH_UTILISATION_SHARE = 0.75;

    /** Share by which the service time grows when all slots are in use. */
    private static final double FULL_UTILISATION_SLOWDOWN = 0.25;

    private static final double PERMILLE = 1_000;

    /** Upper bound of the failure share: above it, the target is not worth an attempt while another one is healthy. */
    private static final double MAXIMUM_FAILURE_SHARE = 0.9;

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
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(region, "region");
    }

    /**
     * Creates a candidate of an unknown failure domain and region.
     *
     * @param node the name of the node that gates the target, not null.
     * @param address the link address of that node, not null.
     * @param distance the distance to that node, not null.
     * @param report the latest report of the target's gate, not null.
     * @param reportAgeMs the age of the report, in milliseconds.
     * @param callsSentSinceReport the number of unfinished calls that this node sent to the target after the report.
     */
    public PlacementCandidate(
            final String node,
            final NodeAddress address,
            final Distance distance,
            final TargetReport report,
            final long reportAgeMs,
            final int callsSentSinceReport) {
        this(node, address, distance, report, reportAgeMs, callsSentSinceReport, "", "");
    }

    /**
     * Returns a copy with a mean duration for one more route.
     *
     * @param routeTime the route and its mean duration, not null.
     * @return the copy, never null.
     */
    public PlacementCandidate withRouteTime(final RouteTime routeTime) {
        return new PlacementCandidate(
                node,
                address,
                distance,
                report.withRouteTime(routeTime),
                reportAgeMs,
                callsSentSinceReport,
                failureDomain,
                region);
    }

    /**
     * Returns a copy with an estimate of the load in place of the reported one.
     *
     * @param load the number of calls that are expected to run or wait at the target, with those of this node.
     * @return the copy, never null.
     */
    PlacementCandidate withExpectedLoad(final double load) {
        int others = (int) Math.max(0, Math.round(load) - callsSentSinceReport);
        return new PlacementCandidate(
                node,
                address,
                distance,
                report.withLoad(others),
                reportAgeMs,
                callsSentSinceReport,
                failureDomain,
                region);
    }

    /**
     * Estimates how many calls run or wait at the target.
     *
     * @return the number of calls, zero or more.
     */
    public int load() {
        return report.running() + report.waiting() + callsSentSinceReport;
    }

    /**
     * Estimates how long a call would wait for a slot.
     *
     * @return the time in milliseconds, zero if a slot is free.
     */
    public double expectedWaitMs() {
        return expectedWaitMs(load());
    }

    private double expectedWaitMs(final double load) {
        double callsBeyondSlots = load + 1 - report.slots();
        return callsBeyondSlots <= 0 ? 0 : callsBeyondSlots * report.meanMs() / report.slots();
    }

    /**
     * Estimates the time until the answer arrives: round trip, wait for a slot and service time.
     *
     * @param route the name of the route, not null.
     * @return the time in milliseconds.
     */
    public double expectedResponseMs(final String route) {
        return expectedResponseMs(load(), report.meanRouteMs(route));
    }

    /**
     * Estimates the time until the answer arrives at a given load.
     *
     * @param load the number of calls that run or wait at the target.
     * @param meanRouteMs the mean service time of the call's route, in milliseconds.
     * @return the time in milliseconds.
     */
    double expectedResponseMs(final double load, final double meanRouteMs) {
        double serviceMs = report.warmupLeftMs() > reportAgeMs ? WARMUP_FACTOR * meanRouteMs : meanRouteMs;
        double utilisationExcess =
                Math.max(0, Math.min(1, load / report.slots()) - HIGH_UTILISATION_SHARE) / (1 - HIGH_UTILISATION_SHARE);
        return distance.roundTripMs()
                + expectedWaitMs(load)
                + serviceMs * (1 + FULL_UTILISATION_SLOWDOWN * utilisationExcess);
    }

    /**
     * Returns the share of recent calls that failed at the target.
     *
     * @return the share, from 0 to {@value #MAXIMUM_FAILURE_SHARE}.
     */
    public double failureShare() {
        return Math.min(MAXIMUM_FAILURE_SHARE, report.failurePermille() / PERMILLE);
    }
}
