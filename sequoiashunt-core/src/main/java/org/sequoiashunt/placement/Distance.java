package org.sequoiashunt.placement;

/**
 * Network distance from this node to a target's node, with the round trip and the cost of paid traffic, both as time.
 *
 * <p>Immutable and thread-safe.
 */
public enum Distance {
    /** Same node. */
    NODE(0, 0),
    /** Same failure domain, another node. */
    DOMAIN(1, 0),
    /** Same region, another failure domain. */
    REGION(4, 40),
    /** Another region. */
    REMOTE(63, 200);

    private final int roundTripMs;
    private final int trafficCostMs;

    Distance(final int roundTripMs, final int trafficMs) {
        this.roundTripMs = roundTripMs;
        this.trafficCostMs = trafficMs;
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
     * Returns the cost of paid traffic as time: a target at this distance must be expected to answer an ordinary call
     * this much earlier than a nearer one to be chosen.
     *
     * @return the time in milliseconds, zero or more.
     */
    public int trafficCostMs() {
        return trafficCostMs;
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
