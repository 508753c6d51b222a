package org.sequoiashunt.mesh;

import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * Route of a mesh: the host and path prefix that select its requests, and the rules for serving them.
 *
 * <p>Immutable and thread-safe. Invariants: the prefix begins and ends with a slash; at least one service has a weight
 * above zero; times and attempts are positive.
 *
 * @param name the name of the route.
 * @param host the host, in lower case.
 * @param prefix the prefix of the paths, with a slash at both ends.
 * @param services the services that receive the requests, with their weights.
 * @param kind what may be repeated.
 * @param timeoutMs the longest time that a request is kept waiting, in milliseconds.
 * @param objectiveMs the latency objective: the time within which requests should be answered, in milliseconds.
 * @param rank the rank among routes, zero or more; lower ranks are more urgent.
 * @param attempts the maximum number of targets that one request may reach.
 * @param anonymous whether requests need no key.
 * @param regions the regions in which requests may be served; empty for all.
 */
public record MeshRoute(
        String name,
        String host,
        String prefix,
        List<WeightedService> services,
        RequestKind kind,
        long timeoutMs,
        long objectiveMs,
        int rank,
        int attempts,
        boolean anonymous,
        Set<String> regions) {

    /**
     * Checks the components and copies the list.
     *
     * @throws NullPointerException if a component is null.
     * @throws IllegalArgumentException if an invariant does not hold.
     */
    public MeshRoute {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(prefix, "prefix");
        Objects.requireNonNull(kind, "kind");
        services = List.copyOf(services);
        regions = Set.copyOf(regions);
        if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
            throw new IllegalArgumentException("prefix must begin and end with a slash: " + prefix);
        }
        if (services.stream().noneMatch(service -> service.weight() > 0)) {
            throw new IllegalArgumentException("no service has a weight above zero");
        }
        if (timeoutMs < 1 || objectiveMs < 1 || attempts < 1 || rank < 0) {
            throw new IllegalArgumentException("times and attempts must be positive and the rank not negative: timeout "
                    + timeoutMs + " ms, objective " + objectiveMs + " ms, attempts " + attempts + ", rank " + rank);
        }
    }

    /**
     * Returns whether requests may run more than once.
     *
     * @return false if a request may run at most once.
     */
    public boolean idempotent() {
        return kind.isIdempotent();
    }
}
