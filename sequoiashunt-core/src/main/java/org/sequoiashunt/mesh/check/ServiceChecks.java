package org.sequoiashunt.mesh.check;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.sequoiashunt.mesh.MeshConfiguration;
import org.sequoiashunt.mesh.WeightedService;

/** Checks the services of a configuration. Not thread-safe. */
final class ServiceChecks {

    private final MeshConfiguration configuration;
    private final List<Finding> findings;

    ServiceChecks(final MeshConfiguration configuration, final List<Finding> findings) {
        this.configuration = configuration;
        this.findings = findings;
    }

    void run() {
        Set<String> used = configuration.routes().stream()
                .flatMap(route -> route.services().stream())
                .map(WeightedService::service)
                .collect(Collectors.toSet());
        for (String name : new TreeSet<>(configuration.services().keySet())) {
            if (!used.contains(name)) {
                findings.add(Finding.warning(
                        "service-unused",
                        "service " + name,
                        "no route that is served names it, so its targets get no requests",
                        "name it in a route, or remove it"));
            }
        }
    }
}
