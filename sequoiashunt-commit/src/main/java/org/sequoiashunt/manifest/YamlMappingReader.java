package org.sequoiashunt.manifest;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;

/**
 * Reads the keys and values of one YAML mapping and reports keys that are unknown, repeated, missing or not text.
 *
 * <p>Confined to one thread.
 */
final class YamlMappingReader {

    private final Node node;
    private final String path;
    private final ProblemList problems;
    private final Map<String, NodeTuple> entries = new LinkedHashMap<>();

    private YamlMappingReader(final MappingNode node, final String path, final ProblemList problems) {
        this.node = node;
        this.path = path;
        this.problems = problems;
        node.getValue().forEach(this::add);
    }

    /** Returns the reader, or empty after reporting that the node is not a mapping. */
    static Optional<YamlMappingReader> of(final Node node, final String path, final ProblemList problems) {
        if (node instanceof MappingNode mapping) {
            return Optional.of(new YamlMappingReader(mapping, path, problems));
        }
        problems.error(node, path, "expected a mapping but found " + YamlNodeReader.describe(node));
        return Optional.empty();
    }

    private void add(final NodeTuple entry) {
        if (!(entry.getKeyNode() instanceof ScalarNode key)) {
            problems.error(entry.getKeyNode(), path, "a key must be text");
            return;
        }
        NodeTuple earlier = entries.putIfAbsent(key.getValue(), entry);
        if (earlier != null) {
            int line = earlier.getKeyNode().getStartMark().getLine() + 1;
            problems.error(key, pathOf(key.getValue()), "repeated; it stands in line " + line + " already");
        }
    }

    YamlMappingReader rejectUnknownKeys(final Collection<String> knownKeys) {
        for (Map.Entry<String, NodeTuple> entry : entries.entrySet()) {
            if (!knownKeys.contains(entry.getKey())) {
                problems.error(
                        entry.getValue().getKeyNode(),
                        pathOf(entry.getKey()),
                        "unknown key",
                        SpellingSuggester.suggest(entry.getKey(), knownKeys));
            }
        }
        return this;
    }

    Map<String, NodeTuple> entries() {
        return entries;
    }

    Optional<Node> find(final String key) {
        return Optional.ofNullable(entries.get(key)).map(NodeTuple::getValueNode);
    }

    Optional<Node> require(final String key) {
        Optional<Node> found = find(key);
        if (found.isEmpty()) {
            problems.error(node, pathOf(key), "missing");
        }
        return found;
    }

    String pathOf(final String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    String path() {
        return path;
    }

    Node node() {
        return node;
    }
}
