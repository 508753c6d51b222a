package org.sequoiashunt.slot;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.sequoiashunt.fleet.RouteTime;

/**
 * Moving means of one target: its time by route, and the share of its calls that fail.
 *
 * <p>Confined to the lock of its owner. Invariant: the least recently used routes are dropped beyond a bound.
 */
final class TargetMovingAverages {

    /** Weight of the latest call: about the last 15 calls of a route count. */
    private static final double WEIGHT = 0.13;

    private static final int MAXIMUM_ROUTES = 32;
    private static final int PERMILLE = 1_000;

    private final Map<String, Double> meanByRoute = new LinkedHashMap<>(MAXIMUM_ROUTES, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(final Map.Entry<String, Double> eldest) {
            return size() > MAXIMUM_ROUTES;
        }
    };
    private double failureShare;

    void answered(final String route, final long durationMs, final boolean failed) {
        failureShare += WEIGHT * ((failed ? 1 : 0) - failureShare);
        if (!failed) {
            meanByRoute.merge(route, (double) durationMs, (mean, latest) -> mean + WEIGHT * (latest - mean));
        }
    }

    long timeMs(final String route, final long otherwiseMs) {
        Double mean = meanByRoute.get(route);
        return mean == null ? otherwiseMs : Math.round(mean);
    }

    /** Forgets failures bit by bit, so that a target without work is tried again. */
    void forgive() {
        failureShare *= 1 - WEIGHT;
    }

    int failurePermille() {
        return (int) Math.round(failureShare * PERMILLE);
    }

    List<RouteTime> routeTimes() {
        List<RouteTime> times = new ArrayList<>(meanByRoute.size());
        meanByRoute.forEach((route, mean) -> times.add(new RouteTime(route, (int) Math.round(mean))));
        return times;
    }
}
