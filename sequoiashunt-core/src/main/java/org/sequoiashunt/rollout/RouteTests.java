package org.sequoiashunt.rollout;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Tests of one route over all nodes, and over all but each node that serves the new version. Confined to one thread.
 */
final class RouteTests {

    private final FaultTests all = new FaultTests();
    private final Map<String, FaultTests> withoutNode = new TreeMap<>();

    /**
     * Creates tests that have seen nothing.
     *
     * @param nodes the nodes known to serve the new version, not null.
     */
    RouteTests(final Set<String> nodes) {
        nodes.forEach(this::leaveOut);
    }

    /**
     * Adds tests that leave a node out from here on. Before, it had no calls of the new version to leave out.
     *
     * @param node the node, not null.
     */
    void leaveOut(final String node) {
        withoutNode.put(node, all.copy());
    }

    /**
     * Takes in a block.
     *
     * @param counts the sums of the block, not null.
     */
    void add(final NodeCounts counts) {
        all.add(counts.all());
        counts.withoutNode().forEach((node, sums) -> withoutNode.get(node).add(sums));
    }

    /**
     * Returns the tests over all nodes.
     *
     * @return the tests, never null.
     */
    FaultTests all() {
        return all;
    }

    /**
     * Returns the lowest evidence for one kind of fault with any one node left out.
     *
     * @param kind the kind, not null.
     * @return the logarithm of the evidence; infinity with fewer than two nodes.
     */
    double lowestWithoutOne(final FaultKind kind) {
        if (withoutNode.size() < 2) {
            return Double.POSITIVE_INFINITY;
        }
        return withoutNode.values().stream()
                .mapToDouble(tests -> tests.logEvidence(kind))
                .min()
                .orElseThrow();
    }
}
