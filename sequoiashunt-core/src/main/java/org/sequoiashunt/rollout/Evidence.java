package org.sequoiashunt.rollout;

import java.util.List;
import java.util.Objects;
import org.sequoiashunt.blackboard.EntryValue;
import org.sequoiashunt.blackboard.Section;

/**
 * Requests that one node's gate counted for one target version and route since the move began. The entry's name is
 * {@link #name()}, its writer the node, its version the node's incarnation and a sequence.
 *
 * <p>Immutable and thread-safe. Counts never decrease within one incarnation of the node.
 *
 * @param node the node that counted.
 * @param service the service.
 * @param targetVersion the target version.
 * @param route the route.
 * @param requests calls that ended.
 * @param failures calls that ended in a failure of the target.
 * @param latencyBuckets calls by latency; bucket {@code i} counts those of at most {@code 2^i} milliseconds that
 *     no lower bucket counts, the last one all others.
 */
public record Evidence(
        String node,
        String service,
        String targetVersion,
        String route,
        long requests,
        long failures,
        List<Long> latencyBuckets)
        implements EntryValue {

    /** Number of latency buckets. */
    public static final int BUCKETS = 16;

    /**
     * Checks the components and copies the list.
     *
     * @throws NullPointerException if a component is null.
     * @throws IllegalArgumentException if the number of buckets is wrong or a count negative.
     */
    public Evidence {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(targetVersion, "targetVersion");
        Objects.requireNonNull(route, "route");
        latencyBuckets = List.copyOf(latencyBuckets);
        if (latencyBuckets.size() != BUCKETS) {
            throw new IllegalArgumentException("expected " + BUCKETS + " buckets: " + latencyBuckets.size());
        }
        if (requests < 0 || failures < 0) {
            throw new IllegalArgumentException("counts must not be negative");
        }
    }

    /**
     * Returns the name of the entry.
     *
     * @return service, version, route and node, joined by slashes.
     */
    public String name() {
        return String.join("/", service, targetVersion, route, node);
    }

    @Override
    public Section section() {
        return Section.EVIDENCE;
    }
}
