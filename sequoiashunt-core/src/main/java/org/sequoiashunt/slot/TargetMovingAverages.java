package org.sequoiashunt.slot;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sequoiashunt.fleet.RouteTime;

/**
 * Moving means of one target: the duration of its calls by route, and the share of its calls that fail.
 *
 * <p>Not thread-safe: the owner guards it by a lock. Invariant: the number of routes is bounded; the least recently
 * used route is removed first.
 */
final class TargetMovingAverages {

    /** Weight of the latest call in the moving means: about the last 15 calls of a route, or of the target, count. */
    private static final double LATEST_CALL_WEIGHT = 0.13;

    private static final int MAXIMUM_ROUTES = 32;
    private static final int PERMILLE = 1_000;

    /** Bound of the counted answers, which must not overflow in a process that runs for years. */
    private static final int MAXIMUM_ANSWERS = 1 << 30;

    private final Map<String, RouteMean> meansByRoute = new LinkedHashMap<>(MAXIMUM_ROUTES, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(final Map.Entry<String, RouteMean> eldest) {
            return size() > MAXIMUM_ROUTES;
        }
    };
    private double failureShare;

    void recordCall(final String route, final long durationMs, final boolean failed) {
        failureShare += LATEST_CALL_WEIGHT * ((failed ? 1 : 0) - failureShare);
        if (!failed) {
            meansByRoute.merge(route, new RouteMean(durationMs, 1), RouteMean::plus);
        }
    }

    long meanMs(final String route, final long defaultMs) {
        RouteMean mean = meansByRoute.get(route);
        return mean == null ? defaultMs : Math.round(mean.meanMs());
    }

    /** Returns the number of calls of a route that did not fail. */
    int answers(final String route) {
        RouteMean mean = meansByRoute.get(route);
        return mean == null ? 0 : mean.answers();
    }

    /** Lowers the failure share by one step, so that a target without calls is tried again in time. */
    void decayFailureShare() {
        failureShare *= 1 - LATEST_CALL_WEIGHT;
    }

    int failurePermille() {
        return (int) Math.round(failureShare * PERMILLE);
    }

    List<RouteTime> routeTimes() {
        List<RouteTime> times = new ArrayList<>(meansByRoute.size());
        meansByRoute.forEach((route, mean) -> times.add(new RouteTime(route, (int) Math.round(mean.meanMs()))));
        return times;
    }

    /** Moving mean of the durations of a route's calls and the number of calls, at most 2^30. Immutable. */
    record RouteMean(double meanMs, int answers) {

        RouteMean plus(final RouteMean latest) {
            return new RouteMean(
                    meanMs + LATEST_CALL_WEIGHT * (latest.meanMs - meanMs),
                    Math.min(MAXIMUM_ANSWERS, answers + latest.answers));
        }
    }
}
