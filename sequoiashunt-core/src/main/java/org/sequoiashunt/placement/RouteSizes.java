package org.sequoiashunt.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Moving means of the sizes of calls by route, request and answer together, for the paid traffic that placement
 * estimates.
 *
 * <p>If load is uneven over regions, calls with short answers cross regions first, so that slots near by stay free for
 * calls with long answers.
 *
 * <p>Thread-safe: guarded by this object's monitor. Invariant: memory is bounded.
 */
public final class RouteSizes {

    /** Size of a call for which {@link Distance#trafficCostMs()} holds, in bytes. */
    private static final double REFERENCE_BYTES = 5_000;

    /** Bytes of headers and frames of a call, in addition to its bodies. */
    private static final double OVERHEAD_BYTES = 600;

    /** Weight of the latest call in the moving mean: about the last 20 calls count. */
    private static final double LATEST_CALL_WEIGHT = 0.1;

    /** Bounds of the traffic factor: one long answer must not keep a route out of other regions permanently. */
    private static final double MINIMUM_FACTOR = 0.1;

    private static final double MAXIMUM_FACTOR = 3;
    private static final int MAXIMUM_ROUTES = 1_024;

    private final Map<String, Double> meanBytesByRoute = new HashMap<>();

    /**
     * Records the size of a call.
     *
     * @param route the name of the route, not null.
     * @param bytes the length of the request's and the answer's body together, in bytes.
     */
    public synchronized void recordCall(final String route, final long bytes) {
        Objects.requireNonNull(route, "route");
        if (meanBytesByRoute.size() >= MAXIMUM_ROUTES && !meanBytesByRoute.containsKey(route)) {
            meanBytesByRoute.clear();
        }
        meanBytesByRoute.merge(
                route, bytes + OVERHEAD_BYTES, (mean, latest) -> mean + LATEST_CALL_WEIGHT * (latest - mean));
    }

    /**
     * Returns the mean size of a route's calls, request and answer together.
     *
     * @param route the name of the route, not null.
     * @return the size in bytes; 0 if no call of the route is recorded.
     */
    public synchronized double meanBytes(final String route) {
        return meanBytesByRoute.getOrDefault(route, 0.0);
    }

    /**
     * Returns the mean traffic of a route's calls as a multiple of a call of reference size.
     *
     * @param route the name of the route, not null.
     * @return the factor, from {@value #MINIMUM_FACTOR} to {@value #MAXIMUM_FACTOR}; 1 if no call of the route is
     *     recorded.
     */
    public synchronized double trafficFactor(final String route) {
        Double meanBytes = meanBytesByRoute.get(route);
        if (meanBytes == null) {
            return 1;
        }
        return Math.max(MINIMUM_FACTOR, Math.min(MAXIMUM_FACTOR, meanBytes / (REFERENCE_BYTES + OVERHEAD_BYTES)));
    }
}
