package org.sequoiashunt.fleet;

import java.util.Objects;

/**
 * Counts of the answers of one node's targets of one version on one route since the node started. Counts only grow
 * within one incarnation of the node.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service the service.
 * @param version the version of the targets.
 * @param route the name of the route.
 * @param answers the number of requests that ended.
 * @param failures the number of these requests that failed.
 * @param totalMs the sum of the durations, in milliseconds.
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
