package org.sequoiashunt.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.sequoiashunt.configuration.Route;
import org.sequoiashunt.configuration.ServiceConfiguration;

/**
 * Services and routes of one configuration version. A node replaces its table by swapping one reference, so that each
 * request is routed by a single version.
 *
 * <p>Immutable and thread-safe.
 */
public final class RoutingTable {

    /** Table of a node that has no configuration yet. */
    public static final RoutingTable EMPTY = new RoutingTable(0, Map.of());

    private final long version;
    private final Map<String, ServiceConfiguration> services;

    private RoutingTable(final long version, final Map<String, ServiceConfiguration> services) {
        this.version = version;
        this.services = services;
    }

    /**
     * Creates a table.
     *
     * @param version the configuration version, positive.
     * @param services the configuration of each service, not null.
     * @return the table, never null.
     * @throws IllegalArgumentException if the version is not positive or a service appears twice.
     */
    public static RoutingTable of(final long version, final Collection<ServiceConfiguration> services) {
        Objects.requireNonNull(services, "services");
        if (version < 1) {
            throw new IllegalArgumentException("version must be positive: " + version);
        }
        Map<String, ServiceConfiguration> servicesByName = new HashMap<>();
        for (ServiceConfiguration service : services) {
            if (servicesByName.put(service.service(), service) != null) {
                throw new IllegalArgumentException("service appears twice: " + service.service());
            }
        }
        return new RoutingTable(version, Map.copyOf(servicesByName));
    }

    /**
     * Returns the configuration version.
     *
     * @return the version, zero for the empty table.
     */
    public long version() {
        return version;
    }

    /**
     * Finds a service.
     *
     * @param service the name of the service, not null.
     * @return its configuration, or empty if the table does not contain the service.
     */
    public Optional<ServiceConfiguration> service(final String service) {
        return Optional.ofNullable(services.get(Objects.requireNonNull(service, "service")));
    }

    /**
     * Returns all services.
     *
     * @return an unmodifiable view, in no particular order.
     */
    public Collection<ServiceConfiguration> services() {
        return services.values();
    }

    /**
     * Finds the first route of a service that matches a request.
     *
     * @param service the name of the service, not null.
     * @param method the HTTP method, not null.
     * @param path the path without query, not null.
     * @return the match, or empty if the service is unknown or none of its routes matches.
     */
    public Optional<RouteMatch> match(final String service, final String method, final String path) {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(path, "path");
        return service(service).flatMap(configuration -> matchRoute(configuration, method, path));
    }

    private static Optional<RouteMatch> matchRoute(
            final ServiceConfiguration configuration, final String method, final String path) {
        for (Route route : configuration.routes()) {
            if (route.matches(method, path)) {
                return Optional.of(new RouteMatch(configuration, route));
            }
        }
        return Optional.empty();
    }

    @Override
    public String toString() {
        return "RoutingTable[version=" + version + ", services=" + services.size() + "]";
    }

    /**
     * Route that matched a request, with its service. Immutable and thread-safe.
     *
     * @param service the configuration of the service.
     * @param route the route.
     */
    public record RouteMatch(ServiceConfiguration service, Route route) {}
}
