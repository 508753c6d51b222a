package org.sequoiashunt.placement;

import java.util.Objects;

/**
 * What a call needs from its target. Immutable and thread-safe.
 *
 * @param route the name of the route.
 * @param trafficFactor the expected traffic of the call as a multiple of an ordinary call's.
 * @param objectiveMs the latency objective of the route, in milliseconds.
 * @param remainingMs the time until the objective of this call passes, in milliseconds; negative after that.
 * @param transfer the transfer of its large body, {@link BodyTransfer#NONE} if it has none.
 */
public record PlacementNeed(
        String route, double trafficFactor, long objectiveMs, long remainingMs, BodyTransfer transfer) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if the route or the transfer is null.
     */
    public PlacementNeed {
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(transfer, "transfer");
    }

    /**
     * Creates the need of a call without a large body.
     *
     * @param route the name of the route.
     * @param trafficFactor the expected traffic of the call as a multiple of an ordinary call's.
     * @param objectiveMs the latency objective of the route, in milliseconds.
     * @param remainingMs the time until the objective of this call passes, in milliseconds; negative after that.
     */
    public PlacementNeed(
            final String route, final double trafficFactor, final long objectiveMs, final long remainingMs) {
        this(route, trafficFactor, objectiveMs, remainingMs, BodyTransfer.NONE);
    }
}
