package org.sequoiashunt.mesh.check;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SortedSet;
import java.util.regex.Pattern;
import org.sequoiashunt.mesh.CallerLimits;
import org.sequoiashunt.mesh.MeshConfiguration;
import org.sequoiashunt.mesh.MeshRoute;
import org.sequoiashunt.mesh.RequestKind;
import org.sequoiashunt.mesh.WeightedService;

/** Checks the routes of a configuration and the limits on their requests. Not thread-safe. */
final class RouteChecks {

    /** Characters of hosts in requests; the port is removed before a request is matched. */
    private static final Pattern HOST = Pattern.compile("[a-z0-9._-]+");

    /** Characters of paths in requests, which are matched as sent: without a query, and not percent-decoded. */
    private static final Pattern PREFIX = Pattern.compile("[\\x21-\\x7e&&[^?#]]+");

    private final MeshConfiguration configuration;
    private final Deployment deployment;
    private final List<Finding> findings;
    private final Set<String> names = new HashSet<>();

    RouteChecks(final MeshConfiguration configuration, final Deployment deployment, final List<Finding> findings) {
        this.configuration = configuration;
        this.deployment = deployment;
        this.findings = findings;
    }

    void run() {
        checkBodyLimit();
        for (MeshRoute route : configuration.routes()) {
            String place = "route " + route.name();
            checkMatching(route, place);
            checkServices(route, place);
            checkTimes(route, place);
            checkRegions(route, place);
            checkUpload(route, place);
        }
    }

    private void checkMatching(final MeshRoute route, final String place) {
        if (!HOST.matcher(route.host()).matches()) {
            findings.add(Finding.warning(
                    "host-never-matches",
                    place,
                    "no request has the host \"" + route.host() + "\"",
                    "state a host name without port and without wildcard"));
        }
        if (!PREFIX.matcher(route.prefix()).matches()) {
            findings.add(Finding.warning(
                    "prefix-never-matches",
                    place,
                    "no path begins with \"" + route.prefix() + "\", which holds a character that paths do not have",
                    "state the prefix as it is sent: percent-encoded, without query and fragment"));
        }
        if (!names.add(route.name())) {
            findings.add(Finding.warning(
                    "name-repeated",
                    place,
                    "another route has the same name, so that log lines and figures do not tell them apart",
                    "rename one of them"));
        }
    }

    private void checkServices(final MeshRoute route, final String place) {
        Set<String> seen = new HashSet<>();
        for (WeightedService service : route.services()) {
            if (!seen.add(service.service())) {
                findings.add(Finding.warning(
                        "service-repeated",
                        place,
                        "the service " + service.service() + " is listed more than once",
                        "list it once with the sum of its weights"));
            }
            if (service.weight() == 0) {
                findings.add(Finding.warning(
                        "weight-zero",
                        place,
                        "the service " + service.service() + " has the weight 0 and gets no requests",
                        "raise the weight, or remove the service from the route"));
            }
        }
    }

    private void checkTimes(final MeshRoute route, final String place) {
        if (route.objectiveMs() > route.timeoutMs()) {
            findings.add(Finding.warning(
                    "objective-above-timeout",
                    place,
                    "the objective of " + route.objectiveMs() + " ms is above the timeout of " + route.timeoutMs()
                            + " ms",
                    "lower the objective, or raise the timeout"));
        }
    }

    private void checkRegions(final MeshRoute route, final String place) {
        SortedSet<String> unknown = ConfigurationChecker.findUnknownRegions(route.regions(), deployment);
        if (!unknown.isEmpty()) {
            findings.add(Finding.warning(
                    "region-unknown",
                    place,
                    unknown.size() == route.regions().size()
                            ? "the deployment has none of the regions " + unknown + ", so all requests are refused"
                            : "the deployment does not have the regions " + unknown,
                    "correct the names of the regions"));
        }
    }

    private void checkBodyLimit() {
        long limit = configuration.limits().maximumBodyBytes();
        if (limit > CallerLimits.MAXIMUM_FORWARDED_BODY_BYTES) {
            findings.add(Finding.warning(
                    "body-limit-too-high",
                    "limits",
                    "nodes pass bodies of up to " + CallerLimits.MAXIMUM_FORWARDED_BODY_BYTES
                            + " bytes to each other, so longer ones fail below the limit of " + limit + " bytes",
                    "lower the limit for bodies"));
        }
    }

    private void checkUpload(final MeshRoute route, final String place) {
        long limit = configuration.limits().maximumBodyBytes();
        if (route.kind() == RequestKind.UPLOAD && deployment.largestUploadBytes() > limit) {
            findings.add(Finding.warning(
                    "upload-above-limit",
                    place,
                    "uploads of up to " + deployment.largestUploadBytes() + " bytes are above the limit of " + limit
                            + " bytes for bodies",
                    "raise the limit for bodies"));
        }
    }
}
