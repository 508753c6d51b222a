package org.sequoiashunt.mesh.check;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.sequoiashunt.mesh.CallerLimits;
import org.sequoiashunt.mesh.MeshConfiguration;
import org.sequoiashunt.mesh.MeshRoute;
import org.sequoiashunt.mesh.ServiceSettings;
import org.sequoiashunt.organisation.Organisation;
import org.sequoiashunt.organisation.OrganisationDirectory;
import org.sequoiashunt.organisation.RateLimit;

/**
 * Finds what differs between two configurations as they come into force, without the entries that are left out.
 *
 * <p>Keys of organisations are counted and compared, never named. Not thread-safe.
 */
public final class ConfigurationDifferences {

    private final List<Difference> differences = new ArrayList<>();

    private ConfigurationDifferences() {}

    /**
     * Compares two configurations.
     *
     * @param before the earlier configuration, not null.
     * @param after the later configuration, not null.
     * @return the differences: routes, services, organisations, limits, each by name; never null.
     */
    public static List<Difference> between(final MeshConfiguration before, final MeshConfiguration after) {
        ConfigurationDifferences result = new ConfigurationDifferences();
        Set<String> repeatedNames = new HashSet<>(findRepeatedNames(before));
        repeatedNames.addAll(findRepeatedNames(after));
        result.compare(
                "route ",
                indexRoutes(before, repeatedNames),
                indexRoutes(after, repeatedNames),
                ConfigurationDifferences::describeRoute,
                ConfigurationDifferences::compareRoutes);
        result.compare(
                "service ",
                before.services(),
                after.services(),
                settings -> settings.equals(ServiceSettings.DEFAULT) ? "without warm-up" : describeWarmup(settings),
                ConfigurationDifferences::compareServices);
        result.compareOrganisations(before.organisations(), after.organisations());
        result.compareLimits(before.limits(), after.limits());
        return List.copyOf(result.differences);
    }

    private <T> void compare(
            final String kind,
            final Map<String, T> before,
            final Map<String, T> after,
            final Function<T, String> describe,
            final BiFunction<T, T, String> compareEntries) {
        SortedSet<String> names = new TreeSet<>(before.keySet());
        names.addAll(after.keySet());
        for (String name : names) {
            T earlier = before.get(name);
            T later = after.get(name);
            if (earlier == null) {
                add(Difference.Change.ADDED, kind + name, describe.apply(later));
            } else if (later == null) {
                add(Difference.Change.REMOVED, kind + name, "");
            } else {
                addIfChanged(kind + name, compareEntries.apply(earlier, later));
            }
        }
    }

    private void addIfChanged(final String place, final String detail) {
        if (!detail.isEmpty()) {
            add(Difference.Change.CHANGED, place, detail);
        }
    }

    private void add(final Difference.Change change, final String place, final String detail) {
        differences.add(new Difference(change, place, detail));
    }

    private static Set<String> findRepeatedNames(final MeshConfiguration configuration) {
        Set<String> names = new HashSet<>();
        return configuration.routes().stream()
                .map(MeshRoute::name)
                .filter(name -> !names.add(name))
                .collect(Collectors.toSet());
    }

    /** Indexes routes by name, and those with repeated names also by host and prefix, which no two routes share. */
    private static SortedMap<String, MeshRoute> indexRoutes(
            final MeshConfiguration configuration, final Set<String> repeatedNames) {
        SortedMap<String, MeshRoute> routes = new TreeMap<>();
        for (MeshRoute route : configuration.routes()) {
            String place = repeatedNames.contains(route.name()) ? " (" + route.host() + route.prefix() + ")" : "";
            routes.put(route.name() + place, route);
        }
        return routes;
    }

    private static String describeRoute(final MeshRoute route) {
        return route.host() + route.prefix() + " " + route.kind() + " " + describeServices(route);
    }

    private static String describeServices(final MeshRoute route) {
        SortedMap<String, Integer> weights = new TreeMap<>();
        route.services().forEach(service -> weights.merge(service.service(), service.weight(), Integer::sum));
        return weights.toString();
    }

    private static String compareRoutes(final MeshRoute before, final MeshRoute after) {
        return new FieldChanges()
                .compare("host", before.host(), after.host())
                .compare("prefix", before.prefix(), after.prefix())
                .compare("services", describeServices(before), describeServices(after))
                .compare("kind", before.kind(), after.kind())
                .compare("timeout ms", before.timeoutMs(), after.timeoutMs())
                .compare("objective ms", before.objectiveMs(), after.objectiveMs())
                .compare("rank", before.rank(), after.rank())
                .compare("attempts", before.attempts(), after.attempts())
                .compare("anonymous", before.anonymous(), after.anonymous())
                .compareRegions(before.regions(), after.regions())
                .describe();
    }

    private static String describeWarmup(final ServiceSettings settings) {
        return "warm-up " + settings.warmupMs() + " ms, " + settings.warmupRequestsPerSecond() + " a second";
    }

    private static String compareServices(final ServiceSettings before, final ServiceSettings after) {
        return new FieldChanges()
                .compare("warm-up ms", before.warmupMs(), after.warmupMs())
                .compare("warm-up rate", before.warmupRequestsPerSecond(), after.warmupRequestsPerSecond())
                .describe();
    }

    private void compareOrganisations(final OrganisationDirectory before, final OrganisationDirectory after) {
        addIfChanged(
                "organisations",
                new FieldChanges()
                        .compare("requests need keys", before.requiresKeys(), after.requiresKeys())
                        .describe());
        compare(
                "organisation ",
                indexOrganisations(before),
                indexOrganisations(after),
                organisation -> after.countKeys(organisation.name()) + " keys, limit " + describeQuota(organisation),
                (earlier, later) -> {
                    FieldChanges changes = new FieldChanges()
                            .compare("rank", describeRank(earlier), describeRank(later))
                            .compare("limit", describeQuota(earlier), describeQuota(later))
                            .compareRegions(earlier.regions(), later.regions());
                    int common = after.countCommonKeys(later.name(), before);
                    int added = after.countKeys(later.name()) - common;
                    int removed = before.countKeys(later.name()) - common;
                    if (added + removed > 0) {
                        changes.add("keys: " + added + " added, " + removed + " removed, " + common + " kept");
                    }
                    return changes.describe();
                });
    }

    private static SortedMap<String, Organisation> indexOrganisations(final OrganisationDirectory directory) {
        SortedMap<String, Organisation> organisations = new TreeMap<>();
        directory.organisations().forEach(organisation -> organisations.put(organisation.name(), organisation));
        return organisations;
    }

    private static String describeRank(final Organisation organisation) {
        return organisation.rank().isPresent()
                ? Integer.toString(organisation.rank().getAsInt())
                : "not stated";
    }

    private static String describeQuota(final Organisation organisation) {
        return organisation.quota().map(ConfigurationDifferences::describeLimit).orElse("none");
    }

    private static String describeLimit(final RateLimit limit) {
        return limit.ratePerSecond() + " a second, burst " + limit.burst();
    }

    private void compareLimits(final CallerLimits before, final CallerLimits after) {
        addIfChanged(
                "limits",
                new FieldChanges()
                        .compare("header bytes", before.maximumHeaderBytes(), after.maximumHeaderBytes())
                        .compare("body bytes", before.maximumBodyBytes(), after.maximumBodyBytes())
                        .compare("header timeout ms", before.headerTimeoutMs(), after.headerTimeoutMs())
                        .compare("idle timeout ms", before.idleTimeoutMs(), after.idleTimeoutMs())
                        .describe());
    }
}
