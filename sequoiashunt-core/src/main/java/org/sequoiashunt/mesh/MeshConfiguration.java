package org.sequoiashunt.mesh;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.sequoiashunt.organisation.OrganisationDirectory;

/**
 * One complete version of the mesh's configuration, with its routes indexed by host and path prefix.
 *
 * <p>Immutable and thread-safe. Invariants: every service that a route names exists; no two routes have the same host
 * and prefix; a request that an unserved route would match matches no other one, except
 * one with the same host and prefix.
 */
public final class MeshConfiguration {

    private final long version;
    private final Map<String, ServiceSettings> services;
    private final OrganisationDirectory organisations;
    private final CallerLimits limits;
    private final List<String> omissions;
    /** Routes by host and prefix; empty for prefixes whose route is not served. */
    private final Map<String, Map<String, Optional<MeshRoute>>> routesByHost = new HashMap<>();

    private final List<MeshRoute> routes;
    private final boolean fairShares;
    private final boolean regional;
    /** Names of the routes whose requests may be sent to a second target. */
    private final Set<String> repeatableRoutes;

    private MeshConfiguration(
            final long version,
            final List<MeshRoute> routes,
            final Map<String, ServiceSettings> services,
            final CallerLimits limits,
            final OrganisationDirectory organisations,
            final Omissions omissions) {
        this.version = version;
        this.services = Map.copyOf(services);
        this.limits = Objects.requireNonNull(limits, "limits");
        this.organisations = Objects.requireNonNull(organisations, "organisations");
        this.omissions = omissions.reasons();
        this.routes = List.copyOf(routes);
        this.fairShares = organisations.size() > 0
                || routes.stream().anyMatch(route -> route.kind().hasLargeBodies());
        this.regional = routes.stream().anyMatch(route -> !route.regions().isEmpty())
                || organisations.organisations().stream()
                        .anyMatch(organisation -> !organisation.regions().isEmpty());
        this.repeatableRoutes = routes.stream()
                .filter(route -> route.idempotent() && route.attempts() > 1)
                .map(MeshRoute::name)
                .collect(Collectors.toUnmodifiableSet());
        omissions
                .unservedPrefixes()
                .forEach(unserved -> routesByHost
                        .computeIfAbsent(unserved.host(), unused -> new HashMap<>())
                        .put(unserved.prefix(), Optional.empty()));
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
        return of(
                version,
                routes,
                services.stream().collect(Collectors.toMap(Function.identity(), name -> ServiceSettings.DEFAULT)),
                limits,
                OrganisationDirectory.NONE,
                Omissions.NONE);
    }

    /**
     * Creates a configuration and checks it.
     *
     * @param version the version, positive.
     * @param routes the routes, not null.
     * @param services the settings of the services by name, not null.
     * @param limits the limits on callers' requests, not null.
     * @param organisations the organisations and their keys, not null.
     * @param omissions what was left out, not null.
     * @return the configuration, never null.
     * @throws IllegalArgumentException if the version is not positive, a route names an unknown service, or two routes
     *     have the same host and prefix.
     */
    public static MeshConfiguration of(
            final long version,
            final List<MeshRoute> routes,
            final Map<String, ServiceSettings> services,
            final CallerLimits limits,
            final OrganisationDirectory organisations,
            final Omissions omissions) {
        if (version < 1) {
            throw new IllegalArgumentException("version must be positive: " + version);
        }
        return new MeshConfiguration(version, routes, services, limits, organisations, omissions);
    }

    private void addRoute(final MeshRoute route) {
        for (WeightedService weightedService : route.services()) {
            if (!services.containsKey(weightedService.service())) {
                throw new IllegalArgumentException(
                        "route " + route.name() + " names the unknown service " + weightedService.service());
            }
        }
        Optional<MeshRoute> replaced = routesByHost
                .computeIfAbsent(route.host(), unused -> new HashMap<>())
                .put(route.prefix(), Optional.of(route));
        if (replaced != null && replaced.isPresent()) {
            throw new IllegalArgumentException("route " + route.name() + ": it has the host and prefix of route "
                    + replaced.get().name());
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
        Map<String, Optional<MeshRoute>> routesByPrefix = routesByHost.get(lowerCaseHostWithoutPort(host));
        if (routesByPrefix == null) {
            return Optional.empty();
        }
        int slash = path.lastIndexOf('/');
        while (slash >= 0) {
            Optional<MeshRoute> route = routesByPrefix.get(path.substring(0, slash + 1));
            if (route != null) {
                return route;
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
     * Returns the routes that are served.
     *
     * @return the routes in the order of the document, never null.
     */
    public List<MeshRoute> routes() {
        return routes;
    }

    /**
     * Returns the settings of all services.
     *
     * @return the settings by the names of the services, never null.
     */
    public Map<String, ServiceSettings> services() {
        return services;
    }

    /**
     * Counts the routes.
     *
     * @return the number of routes, zero or more.
     */
    public int routeCount() {
        return routes.size();
    }

    /**
     * Returns whether organisations, and routes for calls without one, share the slots of a target while calls wait.
     *
     * @return true if there are organisations, or routes with large bodies, which share services with short requests.
     */
    public boolean usesFairShares() {
        return fairShares;
    }

    /**
     * Returns whether routes or organisations are bound to regions, so that it matters at any moment where requests are
     * served and nodes need to know the evacuations in force before they take calls.
     *
     * @return true if a route or an organisation names regions.
     */
    public boolean bindsToRegions() {
        return regional;
    }

    /**
     * Returns whether a call to a target that stays silent is given up, so that a second target can be tried.
     *
     * @param route the name of the call's route, not null.
     * @return true if fair shares are in force and the route allows a second attempt.
     */
    public boolean givesUpSilentCalls(final String route) {
        return fairShares && repeatableRoutes.contains(route);
    }

    /**
     * Returns the organisations and their keys.
     *
     * @return the directory, never null.
     */
    public OrganisationDirectory organisations() {
        return organisations;
    }

    /**
     * Returns the settings of a service.
     *
     * @param service the name of the service, not null.
     * @return the settings; the defaults for an unknown service; never null.
     */
    public ServiceSettings serviceSettings(final String service) {
        return services.getOrDefault(service, ServiceSettings.DEFAULT);
    }

    /**
     * Returns why entries of the document were left out.
     *
     * @return one line per entry, never null.
     */
    public List<String> omissions() {
        return omissions;
    }

    /**
     * Entries of a document that are not in force because they are invalid. Immutable and thread-safe.
     *
     * @param reasons one line per entry.
     * @param unservedPrefixes where routes were left out: their requests must not reach the route of a shorter prefix.
     */
    public record Omissions(List<String> reasons, List<UnservedPrefix> unservedPrefixes) {

        /** Nothing was left out. */
        public static final Omissions NONE = new Omissions(List.of(), List.of());

        /**
         * Copies the lists.
         *
         * @throws NullPointerException if a list is null.
         */
        public Omissions {
            reasons = List.copyOf(reasons);
            unservedPrefixes = List.copyOf(unservedPrefixes);
        }
    }

    /**
     * Place of a route that was left out. Immutable and thread-safe.
     *
     * @param host the host, in lower case.
     * @param prefix the prefix of the paths.
     */
    public record UnservedPrefix(String host, String prefix) {}
}
