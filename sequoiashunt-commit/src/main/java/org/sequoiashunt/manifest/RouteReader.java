package org.sequoiashunt.manifest;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import org.sequoiashunt.configuration.Route;
import org.yaml.snakeyaml.nodes.Node;

/**
 * Reads and checks the routes of one service. Confined to one thread.
 */
final class RouteReader {

    private static final int MAXIMUM_TIMEOUT_MS = 60_000;
    private static final int MAXIMUM_PATH_LENGTH = 512;
    private static final List<String> KEYS = List.of("name", "path", "methods", "idempotent", "timeout");
    private static final List<String> METHODS = List.of("DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT");
    private static final Pattern VALID_PATH = Pattern.compile("/|(/[A-Za-z0-9._~!$&'()*+,;=:@%-]+)+/?");
    private static final Pattern DOT_SEGMENT = Pattern.compile(".*/\\.{1,2}(/.*)?");

    private final ProblemList problems;
    private final YamlNodeReader nodes;
    private final Map<String, String> routePathByName = new HashMap<>();
    private final Map<String, String> routePathByMethodAndPrefix = new HashMap<>();

    RouteReader(final ProblemList problems) {
        this.problems = problems;
        this.nodes = new YamlNodeReader(problems);
    }

    List<Route> read(final Node node, final String path) {
        List<Route> routes = new ArrayList<>();
        List<Node> elements = nodes.readNonEmptyList(node, path).orElse(List.of());
        for (int index = 0; index < elements.size(); index++) {
            Node element = elements.get(index);
            YamlMappingReader.of(element, path + "[" + index + "]", problems)
                    .flatMap(this::readRoute)
                    .ifPresent(route -> {
                        warnIfUnreachable(element, route);
                        routes.add(route);
                    });
        }
        return routes;
    }

    private Optional<Route> readRoute(final YamlMappingReader mapping) {
        int errorsBefore = problems.errorCount();
        mapping.rejectUnknownKeys(KEYS);
        Optional<String> name = mapping.require("name").flatMap(node -> nodes.readName(node, mapping.pathOf("name")));
        Optional<String> path = mapping.require("path").flatMap(node -> readPath(node, mapping.pathOf("path")));
        Optional<Set<String>> methods =
                mapping.require("methods").flatMap(node -> readMethods(node, mapping.pathOf("methods")));
        Optional<Boolean> idempotent =
                mapping.require("idempotent").flatMap(node -> nodes.readBoolean(node, mapping.pathOf("idempotent")));
        Optional<Long> timeoutMs = mapping.require("timeout")
                .flatMap(node -> nodes.readNumber(node, mapping.pathOf("timeout"), 1, MAXIMUM_TIMEOUT_MS));
        name.ifPresent(value -> checkNameUnique(mapping, value));
        if (path.isPresent() && methods.isPresent()) {
            checkMethodsAndPathUnique(mapping, path.get(), methods.get());
        }
        if (problems.errorCount() > errorsBefore) {
            return Optional.empty();
        }
        return Optional.of(new Route(
                name.orElseThrow(),
                path.orElseThrow(),
                methods.orElseThrow(),
                idempotent.orElseThrow(),
                timeoutMs.orElseThrow()));
    }

    private Optional<String> readPath(final Node node, final String path) {
        Optional<String> text = nodes.readText(node, path);
        if (text.isEmpty()) {
            return text;
        }
        String value = text.get();
        if (value.length() > MAXIMUM_PATH_LENGTH) {
            problems.error(node, path, "longer than " + MAXIMUM_PATH_LENGTH + " characters");
        } else if (!value.startsWith("/")) {
            problems.error(node, path, "must start with a slash", Optional.of("'/" + value + "'"));
        } else if (!VALID_PATH.matcher(value).matches()) {
            problems.error(node, path, "'" + value + "' is not a path: no query, white space or empty segments");
        } else if (DOT_SEGMENT.matcher(value).matches()) {
            problems.error(node, path, "'" + value + "' has a segment of dots only");
        } else {
            return text;
        }
        return Optional.empty();
    }

    private Optional<Set<String>> readMethods(final Node node, final String path) {
        List<Node> elements = nodes.readNonEmptyList(node, path).orElse(List.of());
        Set<String> methods = new LinkedHashSet<>();
        for (int index = 0; index < elements.size(); index++) {
            Node element = elements.get(index);
            String elementPath = path + "[" + index + "]";
            Optional<String> method = nodes.readText(element, elementPath);
            if (method.isPresent() && !METHODS.contains(method.get())) {
                problems.error(
                        element,
                        elementPath,
                        "unknown method '" + method.get() + "'",
                        SpellingSuggester.suggest(method.get(), METHODS));
            } else if (method.isPresent() && !methods.add(method.get())) {
                problems.error(element, elementPath, "method " + method.get() + " is repeated");
            }
        }
        return methods.isEmpty() ? Optional.empty() : Optional.of(methods);
    }

    private void checkNameUnique(final YamlMappingReader mapping, final String name) {
        String earlier = routePathByName.putIfAbsent(name, mapping.path());
        if (earlier != null) {
            problems.error(
                    mapping.node(), mapping.pathOf("name"), "'" + name + "' is the name of " + earlier + " already");
        }
    }

    private void checkMethodsAndPathUnique(
            final YamlMappingReader mapping, final String path, final Set<String> methods) {
        for (String method : methods) {
            String earlier = routePathByMethodAndPrefix.putIfAbsent(method + " " + path, mapping.path());
            if (earlier != null) {
                problems.error(
                        mapping.node(), mapping.path(), method + " " + path + " is matched by " + earlier + " already");
            }
        }
    }

    /** Warns of a route that gets no requests: routes are tried in order, and all its requests match earlier ones. */
    private void warnIfUnreachable(final Node node, final Route route) {
        Set<String> covering = new TreeSet<>();
        for (String method : route.methods()) {
            Optional<String> earlier = findCoveringPrefix(method, route.pathPrefix());
            if (earlier.isEmpty()) {
                return;
            }
            covering.add(routePathByMethodAndPrefix.get(method + " " + earlier.get()));
        }
        problems.warning(
                node,
                "routes." + route.name(),
                "never used, since " + String.join(" and ", covering) + " before it matches all its requests");
    }

    /** Finds a shorter path prefix for which an earlier route takes the method. */
    private Optional<String> findCoveringPrefix(final String method, final String path) {
        for (int slash = path.indexOf('/'); slash >= 0; slash = path.indexOf('/', slash + 1)) {
            for (String prefix : List.of(path.substring(0, slash), path.substring(0, slash + 1))) {
                if (!prefix.equals(path) && routePathByMethodAndPrefix.containsKey(method + " " + prefix)) {
                    return Optional.of(prefix);
                }
            }
        }
        return Optional.empty();
    }
}
