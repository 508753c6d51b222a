package org.sequoiashunt.placement;

import java.util.Objects;

/**
 * What a call needs from its target. Immutable and thread-safe.
 *
 * @param route the name of the route.
 * @param trafficFactor the expected traffic of the call as a multiple of an ordinary call's.
 * @param objectiveMs the latency objective of the route, in milliseconds.
 * @param remainingMs the time until the objective of this call passes, in milliseconds; negative after that.
 */
public record PlacementNeed(String route, double trafficFactor, long objectiveMs, long remainingMs) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if the route is null.
     */
    public PlacementNeed {
        Objects.requireNonNull(route, "route");
    }
}
