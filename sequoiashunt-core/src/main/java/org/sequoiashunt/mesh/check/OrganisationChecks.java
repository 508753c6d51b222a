package org.sequoiashunt.mesh.check;

import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.sequoiashunt.mesh.MeshConfiguration;
import org.sequoiashunt.mesh.MeshRoute;
import org.sequoiashunt.organisation.Organisation;
import org.sequoiashunt.organisation.OrganisationDirectory;
import org.sequoiashunt.organisation.RateLimit;

/** Checks the organisations of a configuration. Not thread-safe. */
final class OrganisationChecks {

    private final MeshConfiguration configuration;
    private final Deployment deployment;
    private final List<Finding> findings;

    OrganisationChecks(
            final MeshConfiguration configuration, final Deployment deployment, final List<Finding> findings) {
        this.configuration = configuration;
        this.deployment = deployment;
        this.findings = findings;
    }

    void run() {
        OrganisationDirectory directory = configuration.organisations();
        int keys = 0;
        List<Organisation> organisations = directory.organisations().stream()
                .sorted(Comparator.comparing(Organisation::name))
                .toList();
        for (Organisation organisation : organisations) {
            String place = "organisation " + organisation.name();
            keys += directory.countKeys(organisation.name());
            checkName(organisation, place);
            checkKeys(organisation, place);
            organisation.quota().ifPresent(quota -> checkRate(quota, place));
            checkRegions(organisation, place);
        }
        List<String> closedRoutes = configuration.routes().stream()
                .filter(route -> !route.anonymous())
                .map(MeshRoute::name)
                .toList();
        if (directory.requiresKeys() && keys == 0 && !closedRoutes.isEmpty()) {
            findings.add(Finding.warning(
                    "no-keys",
                    "document",
                    "no key identifies an organisation, so all requests on the routes " + closedRoutes
                            + " are answered 401",
                    "give keys to the organisations, or remove the table of organisations"));
        }
    }

    private void checkName(final Organisation organisation, final String place) {
        if (!organisation.hasSendableName()) {
            findings.add(Finding.warning(
                    "name-not-sendable",
                    place,
                    "targets get the name in a header, which cannot hold white space at an end, control or non-ASCII"
                            + " characters",
                    "rename it"));
        }
    }

    private void checkKeys(final Organisation organisation, final String place) {
        int unsendable = configuration.organisations().countUnsendableKeys(organisation.name());
        if (unsendable > 0) {
            findings.add(Finding.warning(
                    "key-never-matches",
                    place,
                    "keys that are empty, or hold white space at an end, control or non-ASCII characters: "
                            + unsendable,
                    "replace these keys"));
        }
        if (configuration.organisations().countKeys(organisation.name()) == 0) {
            findings.add(Finding.warning(
                    "organisation-without-keys",
                    place,
                    "no key identifies it, so the entry has no effect",
                    "give it a key that no other organisation holds, or remove it"));
        }
    }

    private void checkRate(final RateLimit quota, final String place) {
        if (quota.requestsWithin(deployment.quotaWindowMs()) < 1) {
            findings.add(Finding.warning(
                    "rate-below-one-request",
                    place,
                    "the rate of " + quota.ratePerSecond() + " a second and the burst of " + quota.burst()
                            + " allow less than one request in " + deployment.quotaWindowMs() + " ms",
                    "raise the rate, or the burst to 1 or above"));
        }
    }

    private void checkRegions(final Organisation organisation, final String place) {
        SortedSet<String> unknown = ConfigurationChecker.findUnknownRegions(organisation.regions(), deployment);
        if (!unknown.isEmpty()) {
            findings.add(Finding.warning(
                    "region-unknown",
                    place,
                    unknown.size() == organisation.regions().size()
                            ? "the deployment has none of the regions " + unknown + ", so all requests are refused"
                            : "the deployment does not have the regions " + unknown,
                    "correct the names of the regions"));
        }
        SortedSet<String> excluded = new TreeSet<>();
        for (MeshRoute route : configuration.routes()) {
            if (excludeEachOther(route.regions(), organisation.regions())) {
                excluded.add(route.name());
            }
        }
        if (!excluded.isEmpty()) {
            findings.add(Finding.warning(
                    "regions-exclude-each-other",
                    place,
                    "it has no region in common with the routes " + excluded + ", so its requests there are refused",
                    "allow a common region, or accept that it cannot use these routes"));
        }
    }

    /** Regions that the deployment does not have count as absent, unless a side has no others, which is reported. */
    private boolean excludeEachOther(final Set<String> first, final Set<String> second) {
        if (first.isEmpty() || second.isEmpty()) {
            return false;
        }
        Set<String> firstKnown = new HashSet<>(first);
        firstKnown.removeAll(ConfigurationChecker.findUnknownRegions(first, deployment));
        Set<String> secondKnown = new HashSet<>(second);
        secondKnown.removeAll(ConfigurationChecker.findUnknownRegions(second, deployment));
        return Collections.disjoint(first, second)
                || !firstKnown.isEmpty() && !secondKnown.isEmpty() && Collections.disjoint(firstKnown, secondKnown);
    }
}
