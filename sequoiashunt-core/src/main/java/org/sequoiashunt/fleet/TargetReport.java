package org.sequoiashunt.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * State and load of a target, as measured by the gate that limits its requests.
 *
 * <p>Immutable and thread-safe.
 *
 * @param target the identity of the target.
 * @param service the service that the target runs.
 * @param version the version of the target's software.
 * @param slots the number of requests that the target runs at a time.
 * @param accepting whether the target accepts new requests.
 * @param running the number of requests that the target runs.
 * @param waiting the number of requests that wait at the gate.
 * @param meanMs the mean time for which a request holds a slot, in milliseconds.
 * @param failurePermille the share of recent requests that failed at the target, in thousandths (of 1,000).
 * @param warmupLeftMs the remaining warm-up time in which the target is slow, in milliseconds.
 * @param routeTimes the mean durations by route; routes without requests are missing.
 * @param pacePercent how long work takes on the target's VM at present, in percent of the usual; zero if unknown.
 */
public record TargetReport(
        String target,
        String service,
        String version,
        int slots,
        boolean accepting,
        int running,
        int waiting,
        int meanMs,
        int failurePermille,
        long warmupLeftMs,
        List<RouteTime> routeTimes,
        int pacePercent) {

    /**
     * Checks the components and copies the list.
     *
     * @throws NullPointerException if a component is null.
     */
    public TargetReport {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(version, "version");
        routeTimes = List.copyOf(routeTimes);
    }

    /**
     * Returns a copy of this report with a more recent load. Requests beyond the slots are counted as waiting.
     *
     * @param load the number of requests that run and wait.
     * @return the copy, never null.
     */
    public TargetReport withLoad(final int load) {
        int runningRequests = Math.min(load, slots);
        return new TargetReport(
                target,
                service,
                version,
                slots,
                accepting,
                runningRequests,
                load - runningRequests,
                meanMs,
                failurePermille,
                warmupLeftMs,
                routeTimes,
                pacePercent);
    }

    /**
     * Returns whether the report has a mean duration for a route.
     *
     * @param route the name of the route, not null.
     * @return false if the target has not answered requests on the route since it joined.
     */
    public boolean hasRouteTime(final String route) {
        for (RouteTime routeTime : routeTimes) {
            if (routeTime.route().equals(route)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns a copy of this report with a mean duration for one more route.
     *
     * @param routeTime the route and its mean duration, not null.
     * @return the copy, never null.
     */
    public TargetReport withRouteTime(final RouteTime routeTime) {
        List<RouteTime> times = new ArrayList<>(routeTimes);
        times.add(routeTime);
        return new TargetReport(
                target,
                service,
                version,
                slots,
                accepting,
                running,
                waiting,
                meanMs,
                failurePermille,
                warmupLeftMs,
                times,
                pacePercent);
    }

    /**
     * Returns the mean duration of the target's requests on a route.
     *
     * @param route the name of the route, not null.
     * @return the mean in milliseconds; the mean over all routes if the route is not in the report.
     */
    public int meanRouteMs(final String route) {
        for (RouteTime routeTime : routeTimes) {
            if (routeTime.route().equals(route)) {
                return routeTime.meanMs();
            }
        }
        return meanMs;
    }
}
