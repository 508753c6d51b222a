package org.sequoiashunt.rollout;

import java.util.List;
import java.util.Objects;
import org.sequoiashunt.blackboard.EntryValue;
import org.sequoiashunt.blackboard.Section;

/**
 * Counts of the calls that one node's gate finished for one target version and route since the move began. The name
 * of the entry is {@link #name()}, its writer the node, and its version the node's incarnation with a sequence
 * number.
 *
 * <p>Immutable and thread-safe. Counts never decrease within one incarnation of the node.
 *
 * @param node the name of the node that counted the calls.
 * @param service the service.
 * @param targetVersion the target version.
 * @param route the route.
 * @param requests number of calls classified as success or failure, zero or more.
 * @param failures number of calls classified as {@link CallClassification#FAILURE}, zero or more.
 * @param latencyBuckets number of calls by latency, {@link #BUCKETS} values: bucket {@code i} counts the calls of at
 *     most {@code 2^i} milliseconds that no lower bucket counts, the last bucket all slower calls.
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
     * @throws IllegalArgumentException if the number of buckets is not {@link #BUCKETS}, or if {@code requests} or
     *     {@code failures} is negative.
     */
    public Evidence {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(targetVersion, "targetVersion");
        Objects.requireNonNull(route, "route");
        latencyBuckets = List.copyOf(latencyBuckets);
        if (latencyBuckets.size() != BUCKETS) {
            throw new IllegalArgumentException(
                    "expected " + BUCKETS + " latency buckets, got " + latencyBuckets.size());
        }
        if (requests < 0 || failures < 0) {
            throw new IllegalArgumentException("requests and failures must not be negative");
        }
    }

    /**
     * Returns the name of the entry.
     *
     * @return the service, target version, route and node, joined by slashes.
     */
    public String name() {
        return String.join("/", service, targetVersion, route, node);
    }

    @Override
    public Section section() {
        return Section.EVIDENCE;
    }
}
