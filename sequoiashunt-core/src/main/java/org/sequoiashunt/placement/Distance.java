package org.sequoiashunt.placement;

/**
 * Network distance from this node to a target's node, with the round trip and the cost of paid traffic as time.
 *
 * <p>Immutable and thread-safe.
 */
public enum Distance {
    /** Same node. */
    NODE(0, 0),
    /** Same failure domain, another node. */
    DOMAIN(1, 0),
    /** Same region, another failure domain. */
    REGION(4, 0.09),
    /** Another region. */
    REMOTE(63, 0.45);

    private final int roundTripMs;
    private final double trafficCostShare;

    Distance(final int roundTripMs, final double trafficCostShare) {
        this.roundTripMs = roundTripMs;
        this.trafficCostShare = trafficCostShare;
    }

    /**
     * Returns the round-trip time, which is derived from the network delays that the users specify.
     *
     * @return the time in milliseconds, zero or more.
     */
    public int roundTripMs() {
        return roundTripMs;
    }

    /**
     * Returns the cost of paid traffic as a share of a route's latency objective: a target at this distance must be
     * expected to answer an ordinary call earlier by this share to be chosen over a nearer one. Time that is short
     * compared with the objective is worth little to callers, so the cost is in proportion to it.
     *
     * @return the share, zero or more.
     */
    public double trafficCostShare() {
        return trafficCostShare;
    }

    /**
     * Returns the distance between two nodes; the nearest one that applies.
     *
     * @param sameNode whether both are the same node.
     * @param sameDomain whether both are in one failure domain.
     * @param sameRegion whether both are in one region.
     * @return the distance, never null.
     */
    public static Distance of(final boolean sameNode, final boolean sameDomain, final boolean sameRegion) {
        if (sameNode) {
            return NODE;
        }
        if (sameDomain) {
            return DOMAIN;
        }
        return sameRegion ? REGION : REMOTE;
    }
}
