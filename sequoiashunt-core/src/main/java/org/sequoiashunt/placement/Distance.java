package org.sequoiashunt.placement;

/**
 * How far a target's node is, with the time and the preference that this costs.
 *
 * <p>Immutable and thread-safe.
 */
public enum Distance {
    /** The target of this node. */
    NODE(0, 0),
    /** Same failure domain. */
    DOMAIN(1, 0),
    /** Same region. */
    REGION(4, 40),
    /** Another region. */
    REMOTE(63, 200);

    private final int roundTripMs;
    private final int trafficMs;

    Distance(final int roundTripMs, final int trafficMs) {
        this.roundTripMs = roundTripMs;
        this.trafficMs = trafficMs;
    }

    /**
     * Returns the round trip, from the delays that the users state.
     *
     * @return the time in milliseconds.
     */
    public int roundTripMs() {
        return roundTripMs;
    }

    /**
     * Returns how much sooner a target at this distance must be to be worth the paid traffic.
     *
     * @return the time in milliseconds.
     */
    public int trafficMs() {
        return trafficMs;
    }

    /**
     * Compares two places.
     *
     * @param sameNode whether they are the same node.
     * @param sameDomain whether they share the failure domain.
     * @param sameRegion whether they share the region.
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
