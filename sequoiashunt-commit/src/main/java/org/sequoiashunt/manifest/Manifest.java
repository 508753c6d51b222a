package org.sequoiashunt.manifest;

import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.sequoiashunt.configuration.ServiceConfiguration;

/**
 * Content of a manifest that passed all checks.
 *
 * <p>Immutable and thread-safe. Invariants: the maps and the list are unmodifiable; every home group that a service
 * names is among the groups.
 *
 * @param groups the failure domains of each home group, by group.
 * @param services the configuration of each service, by service.
 * @param warnings the problems that do not make the manifest invalid, ordered by line; may be empty.
 */
public record Manifest(
        SortedMap<String, List<String>> groups,
        SortedMap<String, ServiceConfiguration> services,
        List<Problem> warnings) {

    /**
     * Copies the components.
     *
     * @throws NullPointerException if a component is null.
     */
    public Manifest {
        groups = Collections.unmodifiableSortedMap(new TreeMap<>(groups));
        services = Collections.unmodifiableSortedMap(new TreeMap<>(services));
        warnings = List.copyOf(warnings);
    }
}
