package org.sequoiashunt.mesh.check;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.sequoiashunt.mesh.MeshConfiguration;

/**
 * Finds entries of a configuration that are left out, can never take effect, or contradict each other.
 *
 * <p>Not instantiable; thread-safe. The findings are in the order of the document: omissions, routes, services,
 * organisations.
 */
public final class ConfigurationChecker {

    private ConfigurationChecker() {}

    /**
     * Checks a configuration.
     *
     * @param configuration the configuration, not null.
     * @param deployment what is known of its deployment, not null.
     * @return the findings, never null.
     */
    public static List<Finding> check(final MeshConfiguration configuration, final Deployment deployment) {
        List<Finding> findings = new ArrayList<>();
        configuration
                .omissions()
                .forEach(reason -> findings.add(Finding.errorOf(
                        "left-out", reason, "correct it; the rest of the document comes into force without it")));
        new RouteChecks(configuration, deployment, findings).run();
        new ServiceChecks(configuration, findings).run();
        new OrganisationChecks(configuration, deployment, findings).run();
        return List.copyOf(findings);
    }

    /**
     * Checks whether a configuration can replace an earlier one: nodes ignore a version that is not higher.
     *
     * @param before the earlier configuration, not null.
     * @param after the later configuration, not null.
     * @param differ whether the two differ.
     * @return the findings, never null.
     */
    public static List<Finding> checkVersions(
            final MeshConfiguration before, final MeshConfiguration after, final boolean differ) {
        if (after.version() > before.version() || after.version() == before.version() && !differ) {
            return List.of();
        }
        return List.of(new Finding(
                Severity.ERROR,
                "version-not-higher",
                "document",
                "version " + after.version() + " is not above " + before.version() + ", so nodes ignore it",
                "send it with a higher version"));
    }

    /** Returns the names in alphabetical order, or nothing if the regions of the deployment are not known. */
    static SortedSet<String> findUnknownRegions(final Set<String> regions, final Deployment deployment) {
        SortedSet<String> unknown = new TreeSet<>();
        if (!deployment.regions().isEmpty()) {
            unknown.addAll(regions);
            unknown.removeAll(deployment.regions());
        }
        return unknown;
    }
}
