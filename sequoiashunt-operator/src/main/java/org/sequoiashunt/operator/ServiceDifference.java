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
 * Says in words what changed in the configuration of a service. Not instantiable; thread-safe.
 */
final class ServiceDifference {

    private ServiceDifference() {}

    static List<String> describe(
            final Optional<ServiceConfiguration> before, final Optional<ServiceConfiguration> after) {
        if (after.isEmpty()) {
            return List.of("service removed");
        }
        if (before.isEmpty()) {
            return added(after.get());
        }
        List<String> lines = new ArrayList<>();
        describeVersions(before.get(), after.get(), lines);
        if (!before.get().homeGroups().equals(after.get().homeGroups())) {
            lines.add("home groups were " + groups(before.get()) + ", are " + groups(after.get()));
        }
        if (!before.get().formerHomeGroups().isEmpty()
                && after.get().formerHomeGroups().isEmpty()) {
            lines.add("former home groups dropped");
        }
        describeRoutes(before.get(), after.get(), lines);
        return lines;
    }

    private static List<String> added(final ServiceConfiguration service) {
        List<String> lines = new ArrayList<>();
        lines.add("service added at version " + service.version() + " with "
                + ValueFormatter.count(service.routes().size(), "route"));
        service.move().ifPresent(move -> lines.add(begun(move)));
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
        after.move().ifPresent(move -> lines.add(begun(move)));
    }

    private static String begun(final Move move) {
        return "move to " + move.to() + " begun, due " + ValueFormatter.time(move.finishByMs());
    }

    private static String groups(final ServiceConfiguration service) {
        return service.homeGroups().isEmpty() ? "none" : String.join(", ", service.homeGroups());
    }

    private static void describeRoutes(
            final ServiceConfiguration before, final ServiceConfiguration after, final List<String> lines) {
        Map<String, Route> earlier = byName(before);
        Map<String, Route> later = byName(after);
        for (Route route : before.routes()) {
            if (!later.containsKey(route.name())) {
                lines.add("route " + route.name() + " removed");
            }
        }
        for (Route route : after.routes()) {
            Route present = earlier.get(route.name());
            if (present == null) {
                lines.add("route " + route.name() + " added: " + matched(route));
            } else {
                describeRoute(present, route, lines);
            }
        }
        List<String> orderBefore = before.routes().stream()
                .map(Route::name)
                .filter(later::containsKey)
                .toList();
        List<String> orderAfter = after.routes().stream()
                .map(Route::name)
                .filter(earlier::containsKey)
                .toList();
        if (!orderBefore.equals(orderAfter)) {
            lines.add(
                    "order of routes was " + String.join(", ", orderBefore) + ", is " + String.join(", ", orderAfter));
        }
    }

    private static void describeRoute(final Route before, final Route after, final List<String> lines) {
        String route = "route " + after.name() + ": ";
        if (!matched(before).equals(matched(after))) {
            lines.add(route + "matched " + matched(before) + ", matches " + matched(after));
        }
        if (before.timeoutMs() != after.timeoutMs()) {
            lines.add(route + "timeout was " + before.timeoutMs() + " ms, is " + after.timeoutMs() + " ms");
        }
        if (before.idempotent() != after.idempotent()) {
            lines.add(route + (after.idempotent() ? "now idempotent" : "no longer idempotent"));
        }
    }

    private static Map<String, Route> byName(final ServiceConfiguration service) {
        Map<String, Route> routes = new LinkedHashMap<>();
        service.routes().forEach(route -> routes.put(route.name(), route));
        return routes;
    }

    static String matched(final Route route) {
        return String.join(" ", new TreeSet<>(route.methods())) + " " + route.pathPrefix();
    }
}
