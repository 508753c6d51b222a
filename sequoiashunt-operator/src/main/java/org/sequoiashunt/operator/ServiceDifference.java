package org.sequoiashunt.operator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.sequoiashunt.configuration.Move;
import org.sequoiashunt.configuration.Route;
import org.sequoiashunt.configuration.ServiceConfiguration;

/**
 * Describes the differences between two configurations of a service as text lines. Not instantiable; thread-safe.
 */
final class ServiceDifference {

    private ServiceDifference() {}

    static List<String> describe(
            final Optional<ServiceConfiguration> before, final Optional<ServiceConfiguration> after) {
        if (after.isEmpty()) {
            return List.of("service removed");
        }
        if (before.isEmpty()) {
            return describeAdded(after.get());
        }
        List<String> lines = new ArrayList<>();
        describeVersions(before.get(), after.get(), lines);
        if (!before.get().homeGroups().equals(after.get().homeGroups())) {
            lines.add("home groups were " + formatHomeGroups(before.get()) + ", are " + formatHomeGroups(after.get()));
        }
        if (!before.get().formerHomeGroups().isEmpty()
                && after.get().formerHomeGroups().isEmpty()) {
            lines.add("former home groups dropped");
        }
        describeRoutes(before.get(), after.get(), lines);
        return lines;
    }

    private static List<String> describeAdded(final ServiceConfiguration service) {
        List<String> lines = new ArrayList<>();
        lines.add("service added at version " + service.version() + " with "
                + ValueFormatter.formatCount(service.routes().size(), "route"));
        service.move().ifPresent(move -> lines.add(describeMoveStart(move)));
        return lines;
    }

    private static void describeVersions(
            final ServiceConfiguration before, final ServiceConfiguration after, final List<String> lines) {
        if (!before.version().equals(after.version())) {
            lines.add("version was " + before.version() + ", is " + after.version());
        }
        if (before.move().equals(after.move())) {
            return;
        }
        before.move().ifPresent(move -> lines.add("move to " + move.to() + " ended"));
        after.move().ifPresent(move -> lines.add(describeMoveStart(move)));
    }

    private static String describeMoveStart(final Move move) {
        return "move to " + move.to() + " begun, due " + ValueFormatter.formatTime(move.finishByMs());
    }

    private static String formatHomeGroups(final ServiceConfiguration service) {
        return service.homeGroups().isEmpty() ? "none" : String.join(", ", service.homeGroups());
    }

    private static void describeRoutes(
            final ServiceConfiguration before, final ServiceConfiguration after, final List<String> lines) {
        Map<String, Route> routesBefore = routesByName(before);
        Map<String, Route> routesAfter = routesByName(after);
        for (Route route : before.routes()) {
            if (!routesAfter.containsKey(route.name())) {
                lines.add("route " + route.name() + " removed");
            }
        }
        for (Route route : after.routes()) {
            Route routeBefore = routesBefore.get(route.name());
            if (routeBefore == null) {
                lines.add("route " + route.name() + " added: " + formatMatch(route));
            } else {
                describeRoute(routeBefore, route, lines);
            }
        }
        List<String> orderBefore = before.routes().stream()
                .map(Route::name)
                .filter(routesAfter::containsKey)
                .toList();
        List<String> orderAfter = after.routes().stream()
                .map(Route::name)
                .filter(routesBefore::containsKey)
                .toList();
        if (!orderBefore.equals(orderAfter)) {
            lines.add(
                    "order of routes was " + String.join(", ", orderBefore) + ", is " + String.join(", ", orderAfter));
        }
    }

    private static void describeRoute(final Route before, final Route after, final List<String> lines) {
        String route = "route " + after.name() + ": ";
        if (!formatMatch(before).equals(formatMatch(after))) {
            lines.add(route + "matched " + formatMatch(before) + ", matches " + formatMatch(after));
        }
        if (before.timeoutMs() != after.timeoutMs()) {
            lines.add(route + "timeout was " + before.timeoutMs() + " ms, is " + after.timeoutMs() + " ms");
        }
        if (before.idempotent() != after.idempotent()) {
            lines.add(route + (after.idempotent() ? "now idempotent" : "no longer idempotent"));
        }
    }

    private static Map<String, Route> routesByName(final ServiceConfiguration service) {
        Map<String, Route> routes = new LinkedHashMap<>();
        service.routes().forEach(route -> routes.put(route.name(), route));
        return routes;
    }

    static String formatMatch(final Route route) {
        return String.join(" ", new TreeSet<>(route.methods())) + " " + route.pathPrefix();
    }
}
