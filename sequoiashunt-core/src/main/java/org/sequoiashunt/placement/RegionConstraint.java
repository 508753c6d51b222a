package org.sequoiashunt.placement;

import java.util.Set;

/**
 * Regions in which a request may be served: those that its route and its organisation both allow.
 *
 * <p>Immutable and thread-safe.
 *
 * @param routeRegions the regions that the route allows; empty for all.
 * @param organisationRegions the regions that the organisation allows; empty for all.
 */
public record RegionConstraint(Set<String> routeRegions, Set<String> organisationRegions) {

    /** Allows all regions. */
    public static final RegionConstraint NONE = new RegionConstraint(Set.of(), Set.of());

    /**
     * Copies the sets.
     *
     * @throws NullPointerException if a component is null.
     */
    public RegionConstraint {
        routeRegions = Set.copyOf(routeRegions);
        organisationRegions = Set.copyOf(organisationRegions);
    }

    /**
     * Returns whether a region is allowed.
     *
     * @param region the region, not null.
     * @return true if neither set excludes it.
     */
    public boolean allows(final String region) {
        return (routeRegions.isEmpty() || routeRegions.contains(region))
                && (organisationRegions.isEmpty() || organisationRegions.contains(region));
    }
}
