package org.sequoiashunt.fleet;

import java.util.Objects;

/**
 * What the targets of one node have answered since it started, by version and route. Counts only grow within one
 * incarnation of the node.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service the service.
 * @param version the version of the targets.
 * @param route the name of the route.
 * @param answers how many requests ended.
 * @param failures how many of them failed.
 * @param totalMs the sum of their durations, in milliseconds.
 */
public record VersionTally(String service, String version, String route, long answers, long failures, long totalMs) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a name is null.
     */
    public VersionTally {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(version, "version");
        Objects.requireNonNull(route, "route");
    }
}
