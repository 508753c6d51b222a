package org.sequoiashunt.manifest;

import java.time.DateTimeException;
import java.time.LocalDateTime;
import java.time.OffsetDateTime;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.sequoiashunt.commit.PartCodec;
import org.sequoiashunt.configuration.Move;
import org.sequoiashunt.configuration.Route;
import org.sequoiashunt.configuration.ServiceConfiguration;
import org.sequoiashunt.store.Store;
import org.yaml.snakeyaml.nodes.Node;

/**
 * Reads and checks the configuration of one service. Confined to one thread.
 */
final class ServiceReader {

    private static final List<String> KEYS = List.of("version", "move", "homeGroups", "formerHomeGroups", "routes");
    private static final List<String> MOVE_KEYS = List.of("to", "finishBy");

    private final ProblemList problems;
    private final YamlNodeReader nodes;
    private final Set<String> groups;

    ServiceReader(final ProblemList problems, final Set<String> groups) {
        this.problems = problems;
        this.nodes = new YamlNodeReader(problems);
        this.groups = groups;
    }

    Optional<ServiceConfiguration> read(final String service, final YamlMappingReader mapping) {
        int errorsBefore = problems.errorCount();
        mapping.rejectUnknownKeys(KEYS);
        Optional<String> version =
                mapping.require("version").flatMap(node -> nodes.readName(node, mapping.pathOf("version")));
        Optional<Move> move = mapping.find("move")
                .flatMap(node -> YamlMappingReader.of(node, mapping.pathOf("move"), problems))
                .flatMap(reader -> readMove(version, reader));
        List<String> homeGroups = readHomeGroups(mapping, "homeGroups");
        List<String> formerHomeGroups = readHomeGroups(mapping, "formerHomeGroups");
        List<Route> routes = mapping.require("routes")
                .map(node -> new RouteReader(problems).read(node, mapping.pathOf("routes")))
                .orElse(List.of());
        if (problems.errorCount() > errorsBefore) {
            return Optional.empty();
        }
        ServiceConfiguration configuration =
                new ServiceConfiguration(service, version.orElseThrow(), move, routes, homeGroups, formerHomeGroups);
        return checkConfiguration(configuration, mapping);
    }

    private Optional<Move> readMove(final Optional<String> from, final YamlMappingReader mapping) {
        mapping.rejectUnknownKeys(MOVE_KEYS);
        Optional<String> to = mapping.require("to").flatMap(node -> nodes.readName(node, mapping.pathOf("to")));
        Optional<Long> finishByMs =
                mapping.require("finishBy").flatMap(node -> readTime(node, mapping.pathOf("finishBy")));
        if (to.isPresent() && to.equals(from)) {
            problems.error(mapping.node(), mapping.pathOf("to"), "is the version that has the traffic already");
            return Optional.empty();
        }
        boolean complete = from.isPresent() && to.isPresent() && finishByMs.isPresent();
        return complete ? Optional.of(new Move(from.get(), to.get(), finishByMs.get())) : Optional.empty();
    }

    private Optional<Long> readTime(final Node node, final String path) {
        Optional<String> text = nodes.readTimeText(node, path);
        if (text.isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(OffsetDateTime.parse(text.get()).toInstant().toEpochMilli());
        } catch (DateTimeException exception) {
            Optional<String> suggestion = suggestUtc(text.get());
            String reason = suggestion.isPresent() ? "has no time zone" : "expected a time like 2026-12-04T10:00:00Z";
            problems.error(node, path, "'" + text.get() + "' " + reason, suggestion);
            return Optional.empty();
        }
    }

    private static Optional<String> suggestUtc(final String text) {
        try {
            LocalDateTime.parse(text);
            return Optional.of(text + "Z");
        } catch (DateTimeException exception) {
            return Optional.empty();
        }
    }

    private List<String> readHomeGroups(final YamlMappingReader mapping, final String key) {
        return mapping.find(key)
                .map(node -> readHomeGroups(node, mapping.pathOf(key)))
                .orElse(List.of());
    }

    private List<String> readHomeGroups(final Node node, final String path) {
        Set<String> homeGroups = new TreeSet<>();
        List<Node> elements = nodes.readNonEmptyList(node, path).orElse(List.of());
        for (int index = 0; index < elements.size(); index++) {
            Node element = elements.get(index);
            String elementPath = path + "[" + index + "]";
            nodes.readText(element, elementPath).ifPresent(group -> addGroup(homeGroups, group, element, elementPath));
        }
        return List.copyOf(homeGroups);
    }

    private void addGroup(final Set<String> homeGroups, final String group, final Node node, final String path) {
        if (!groups.contains(group)) {
            problems.error(node, path, "unknown group '" + group + "'", SpellingSuggester.suggest(group, groups));
        } else if (!homeGroups.add(group)) {
            problems.error(node, path, "group '" + group + "' is repeated");
        }
    }

    private Optional<ServiceConfiguration> checkConfiguration(
            final ServiceConfiguration configuration, final YamlMappingReader mapping) {
        int bytes = PartCodec.write(configuration).length;
        if (bytes > Store.MAXIMUM_VALUE_BYTES) {
            problems.error(
                    mapping.node(),
                    mapping.path(),
                    "takes " + bytes + " bytes in the store, more than " + Store.MAXIMUM_VALUE_BYTES);
            return Optional.empty();
        }
        if (configuration.homeGroups().isEmpty()) {
            warnAboutIdempotencyKeys(configuration, mapping);
        }
        return Optional.of(configuration);
    }

    private void warnAboutIdempotencyKeys(final ServiceConfiguration configuration, final YamlMappingReader mapping) {
        for (Route route : configuration.routes()) {
            if (!route.idempotent()) {
                problems.warning(
                        mapping.node(),
                        mapping.pathOf("routes") + "." + route.name(),
                        "not idempotent, but the service has no homeGroups:"
                                + " idempotency keys cannot be honoured, and a call that may have run is not retried");
            }
        }
    }
}
