package org.sequoiashunt.manifest;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;

/**
 * Reads the home groups of a manifest and checks that no failure domain belongs to two of them. Confined to one thread.
 */
final class GroupReader {

    private final ProblemList problems;
    private final YamlNodeReader nodes;
    private final SortedMap<String, List<String>> groups = new TreeMap<>();
    private final Map<String, String> groupByDomain = new HashMap<>();

    GroupReader(final ProblemList problems) {
        this.problems = problems;
        this.nodes = new YamlNodeReader(problems);
    }

    SortedMap<String, List<String>> read(final YamlMappingReader mapping) {
        for (Map.Entry<String, NodeTuple> entry : mapping.entries().entrySet()) {
            String path = mapping.pathOf(entry.getKey());
            nodes.checkName(entry.getValue().getKeyNode(), path, entry.getKey());
            groups.put(
                    entry.getKey(), readDomains(entry.getKey(), entry.getValue().getValueNode(), path));
        }
        return groups;
    }

    private List<String> readDomains(final String group, final Node node, final String path) {
        List<String> domains = new ArrayList<>();
        List<Node> elements = nodes.readNonEmptyList(node, path).orElse(List.of());
        for (int index = 0; index < elements.size(); index++) {
            Node element = elements.get(index);
            String elementPath = path + "[" + index + "]";
            nodes.readName(element, elementPath).ifPresent(domain -> {
                checkUnique(group, domain, element, elementPath);
                domains.add(domain);
            });
        }
        return domains;
    }

    private void checkUnique(final String group, final String domain, final Node node, final String path) {
        String earlier = groupByDomain.putIfAbsent(domain, group);
        if (earlier != null) {
            problems.error(node, path, "failure domain '" + domain + "' belongs to group '" + earlier + "' already");
        }
    }
}
