package org.sequoiashunt.mesh;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * One complete version of the mesh's configuration, with its routes indexed by host and path prefix.
 *
 * <p>Immutable and thread-safe. Invariants: every service that a route names exists; no two routes have the same host
 * and prefix.
 */
public final class MeshConfiguration {

    private final long version;
    private final Set<String> services;
    private final CallerLimits limits;
    private final Map<String, Map<String, MeshRoute>> routesByHost = new HashMap<>();
    private final int routeCount;

    private MeshConfiguration(
            final long version, final List<MeshRoute> routes, final Set<String> services, final CallerLimits limits) {
        this.version = version;
        this.services = Set.copyOf(services);
        this.limits = Objects.requireNonNull(limits, "limits");
        this.routeCount = routes.size();
        routes.forEach(this::addRoute);
    }

    /**
     * Creates a configuration and checks it.
     *
     * @param version the version, positive.
     * @param routes the routes, not null.
     * @param services the names of the services, not null.
     * @param limits the limits on callers' requests, not null.
     * @return the configuration, never null.
     * @throws IllegalArgumentException if the version is not positive, a route names an unknown service, or two routes
     *     have the same host and prefix.
     */
    public static MeshConfiguration of(
            final long version, final List<MeshRoute> routes, final Set<String> services, final CallerLimits limits) {
        if (version < 1) {
            throw new IllegalArgumentException("version must be positive: " + version);
        }
        return new MeshConfiguration(version, routes, services, limits);
    }

    private void addRoute(final MeshRoute route) {
        for (WeightedService weightedService : route.services()) {
            if (!services.contains(weightedService.service())) {
                throw new IllegalArgumentException(
                        "route " + route.name() + " names the unknown service " + weightedService.service());
            }
        }
        MeshRoute replaced = routesByHost
                .computeIfAbsent(route.host(), unused -> new HashMap<>())
                .put(route.prefix(), route);
        if (replaced != null) {
            throw new IllegalArgumentException(
                    "routes " + replaced.name() + " and " + route.name() + " have the same host and prefix");
        }
    }

    /**
     * Finds the route of a host with the longest prefix that a path starts with.
     *
     * @param host the host as the caller sent it, with or without a port, not null.
     * @param path the path without a query, not null.
     * @return the route, or empty if none matches.
     */
    public Optional<MeshRoute> match(final String host, final String path) {
        Map<String, MeshRoute> routesByPrefix = routesByHost.get(lowerCaseHostWithoutPort(host));
        if (routesByPrefix == null) {
            return Optional.empty();
        }
        int slash = path.lastIndexOf('/');
        while (slash >= 0) {
            MeshRoute route = routesByPrefix.get(path.substring(0, slash + 1));
            if (route != null) {
                return Optional.of(route);
            }
            slash = slash == 0 ? -1 : path.lastIndexOf('/', slash - 1);
        }
        return Optional.empty();
    }

    private static String lowerCaseHostWithoutPort(final String host) {
        int colon = host.indexOf(':');
        return (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
    }

    /**
     * Returns the version.
     *
     * @return the version, positive.
     */
    public long version() {
        return version;
    }

    /**
     * Returns the limits on callers' requests.
     *
     * @return the limits, never null.
     */
    public CallerLimits limits() {
        return limits;
    }

    /**
     * Counts the routes.
     *
     * @return the number of routes, zero or more.
     */
    public int routeCount() {
        return routeCount;
    }
}
