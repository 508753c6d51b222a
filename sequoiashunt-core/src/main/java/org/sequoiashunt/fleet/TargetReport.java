package org.sequoiashunt.fleet;

import java.util.List;
import java.util.Objects;

/**
 * A target as the gate in front of it sees it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param target the identity of the target.
 * @param service the service that it runs.
 * @param version the version of its software.
 * @param slots how many requests it runs at a time.
 * @param accepting whether it takes new work.
 * @param running the requests that it runs.
 * @param waiting the requests that wait at the gate.
 * @param meanMs the mean time for which a request holds a slot, in milliseconds.
 * @param failurePermille how many of 1,000 recent requests failed at it.
 * @param warmupLeftMs for how much longer it stays slow after its start, in milliseconds.
 * @param routeTimes its times by route.
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
        List<RouteTime> routeTimes) {

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
     * Returns this report with a load that was told later.
     *
     * @param load the requests that run and wait.
     * @return the report, never null.
     */
    public TargetReport withLoad(final int load) {
        int nowRunning = Math.min(load, slots);
        return new TargetReport(
                target,
                service,
                version,
                slots,
                accepting,
                nowRunning,
                load - nowRunning,
                meanMs,
                failurePermille,
                warmupLeftMs,
                routeTimes);
    }

    /**
     * Returns the time that the target takes for a route.
     *
     * @param route the name of the route, not null.
     * @return the mean in milliseconds; the mean over all routes if this one has not been seen.
     */
    public int timeMs(final String route) {
        for (RouteTime routeTime : routeTimes) {
            if (routeTime.route().equals(route)) {
                return routeTime.meanMs();
            }
        }
        return meanMs;
    }
}
