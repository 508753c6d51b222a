package org.sequoiashunt.rollout;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Sums of one block over all nodes, and with the new version's calls on each one node left out.
 *
 * <p>The old version's calls are never left out: they may all be on that node. Confined to one thread.
 */
final class LeaveOneOutCounts {

    private final VersionCounts all = new VersionCounts();
    private final Map<String, VersionCounts> withoutNode = new TreeMap<>();

    /**
     * Creates sums of nothing.
     *
     * @param nodes the nodes each of which is left out in turn, not null.
     */
    LeaveOneOutCounts(final Set<String> nodes) {
        nodes.forEach(node -> withoutNode.put(node, new VersionCounts()));
    }

    /**
     * Adds counts.
     *
     * @param evidence the counts, not null.
     * @param newVersion whether they belong to the new version.
     */
    void add(final Evidence evidence, final boolean newVersion) {
        all.add(evidence, newVersion);
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
    VersionCounts all() {
        return all;
    }

    /**
     * Returns the sums over all nodes but one, for each node that is left out in turn.
     *
     * @return the sums by the node left out, never null.
     */
    Map<String, VersionCounts> withoutNode() {
        return withoutNode;
    }
}
