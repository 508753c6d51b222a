package org.sequoiashunt.mesh.check;

import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.sequoiashunt.mesh.MeshConfiguration;
import org.sequoiashunt.mesh.ServiceSettings;
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
        new TreeMap<>(configuration.services()).forEach((name, settings) -> {
            if (!used.contains(name)) {
                findings.add(Finding.warning(
                        "service-unused",
                        "service " + name,
                        "no route that is served names it, so its targets get no requests",
                        "name it in a route, or remove it"));
            }
            checkWarmup(settings, "service " + name);
        });
    }

    private void checkWarmup(final ServiceSettings settings, final String place) {
        boolean limited = settings.warmupRequestsPerSecond() > 0;
        if (limited && settings.warmupMs() == 0) {
            findings.add(Finding.warning(
                    "warmup-without-time",
                    place,
                    "a rate for cold targets without a warm-up time applies only to targets that announce one",
                    "state the warm-up time, or remove the rate"));
        } else if (!limited && settings.warmupMs() > 0) {
            findings.add(Finding.warning(
                    "warmup-without-rate",
                    place,
                    "a warm-up time without a rate for cold targets limits nothing",
                    "state the rate, or remove the warm-up time"));
        }
    }
}
