package org.sequoiashunt.rollout;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Sums the counts of one block over all nodes, and once per node without the new version's calls on that node.
 *
 * <p>The old version's calls are never left out, since all of them may be on that node. Confined to one thread.
 */
final class LeaveOneOutCounts {

    private final VersionCounts allNodes = new VersionCounts();
    private final Map<String, VersionCounts> withoutNode = new TreeMap<>();

    /**
     * Creates sums that are zero.
     *
     * @param nodes the names of the nodes to leave out one at a time, not null.
     */
    LeaveOneOutCounts(final Set<String> nodes) {
        nodes.forEach(node -> withoutNode.put(node, new VersionCounts()));
    }

    /**
     * Adds counts.
     *
     * @param evidence the counts, not null.
     * @param newVersion whether the counts belong to the new version.
     */
    void add(final Evidence evidence, final boolean newVersion) {
        allNodes.add(evidence, newVersion);
        withoutNode.forEach((node, counts) -> {
            if (!newVersion || !node.equals(evidence.node())) {
                counts.add(evidence, newVersion);
            }
        });
    }

    /**
     * Returns the sums over all nodes.
     *
     * @return the sums, never null.
     */
    VersionCounts allNodes() {
        return allNodes;
    }

    /**
     * Returns, for each node, the sums over all other nodes.
     *
     * @return the sums by the name of the node left out, never null.
     */
    Map<String, VersionCounts> withoutNode() {
        return withoutNode;
    }
}
