package org.sequoiashunt.configuration;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Complete version of the configuration: the head and all parts that it names.
 *
 * <p>Immutable and thread-safe. Invariants: the services are exactly those that the head names; the map is
 * unmodifiable.
 *
 * @param head the head.
 * @param services the configuration of each service, by service name.
 */
public record ConfigurationSnapshot(ConfigurationHead head, SortedMap<String, ServiceConfiguration> services) {

    /**
     * Checks the components and copies the map.
     *
     * @throws NullPointerException if a component is null.
     * @throws IllegalArgumentException if the services are not those of the head.
     */
    public ConfigurationSnapshot {
        Objects.requireNonNull(head, "head");
        services = Collections.unmodifiableSortedMap(new TreeMap<>(services));
        if (!services.keySet().equals(head.parts().keySet())) {
            throw new IllegalArgumentException("services differ from those in the head of version " + head.version());
        }
    }

    /**
     * Creates a snapshot and checks that every service and home group that it refers to exists.
     *
     * @param head the head, not null.
     * @param services the configuration of each service, by service name, not null.
     * @return the snapshot, never null.
     * @throws ConfigurationException if a part is missing, belongs to another service, refers to an unknown home
     *     group or has two routes of one name, or if a home group has no failure domain.
     */
    public static ConfigurationSnapshot of(
            final ConfigurationHead head, final Map<String, ServiceConfiguration> services)
            throws ConfigurationException {
        for (Map.Entry<String, List<String>> group : head.groups().entrySet()) {
            require(!group.getValue().isEmpty(), head, "home group '" + group.getKey() + "' has no failure domain");
        }
        for (String service : head.parts().keySet()) {
            ServiceConfiguration part = services.get(service);
            require(part != null, head, "the part of service '" + service + "' is missing");
            requireValidService(head, service, part);
        }
        return new ConfigurationSnapshot(head, new TreeMap<>(services));
    }

    /**
     * Finds the configuration of a service.
     *
     * @param service the service, not null.
     * @return the configuration, or empty if the service is not configured.
     */
    public Optional<ServiceConfiguration> service(final String service) {
        return Optional.ofNullable(services.get(service));
    }

    private static void requireValidService(
            final ConfigurationHead head, final String service, final ServiceConfiguration part)
            throws ConfigurationException {
        require(
                part.service().equals(service),
                head,
                "the part of service '" + service + "' belongs to service '" + part.service() + "'");
        List<String> groups = new ArrayList<>(part.homeGroups());
        groups.addAll(part.formerHomeGroups());
        for (String group : groups) {
            require(
                    head.groups().containsKey(group),
                    head,
                    "service '" + service + "' refers to unknown home group '" + group + "'");
        }
        Set<String> routeNames = new HashSet<>();
        for (Route route : part.routes()) {
            require(
                    routeNames.add(route.name()),
                    head,
                    "service '" + service + "' has two routes '" + route.name() + "'");
        }
    }

    private static void require(final boolean condition, final ConfigurationHead head, final String problem)
            throws ConfigurationException {
        if (!condition) {
            throw new ConfigurationException("version " + head.version() + ": " + problem);
        }
    }
}
