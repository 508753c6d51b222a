package org.sequoiashunt.replication;

/**
 * Source from which a node received a change. The source decides how far a lead passes the change on, so that one copy
 * crosses to each remote region.
 *
 * <p>Immutable and thread-safe.
 */
enum Origin {
    /** From this node or another one of its failure domain. */
    OWN_DOMAIN(true, true),
    /** From another failure domain of the same region, whose lead serves the other regions. */
    OWN_REGION(false, false),
    /** From another region; the other failure domains of this region still lack it. */
    REMOTE_REGION(true, false);

    private final boolean passedWithinRegion;
    private final boolean passedToRegions;

    Origin(final boolean passedWithinRegion, final boolean passedToRegions) {
        this.passedWithinRegion = passedWithinRegion;
        this.passedToRegions = passedToRegions;
    }

    boolean isPassedWithinRegion() {
        return passedWithinRegion;
    }

    boolean isPassedToRegions() {
        return passedToRegions;
    }
}
