package org.sequoiashunt.rollout;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Fault tests of one route over all nodes, and once per node that serves the new version without the new version's
 * calls on that node. Confined to one thread.
 */
final class RouteTests {

    private final int creationIndex;
    private final FaultTests allNodes = new FaultTests();
    private final Map<String, FaultTests> withoutNode = new TreeMap<>();

    /**
     * Creates tests without any calls.
     *
     * @param creationIndex number of routes, including the sum over all routes, whose tests were created before these,
     *     zero or more.
     * @param nodes the names of the nodes that have handled calls of the new version, not null.
     */
    RouteTests(final int creationIndex, final Set<String> nodes) {
        this.creationIndex = creationIndex;
        nodes.forEach(this::addLeaveOneOutTests);
    }

    /**
     * Adds tests without the new version's calls on a node. They start as a copy of the tests over all nodes, which
     * contain no calls of the new version on this node yet.
     *
     * @param node the name of the node, not null.
     */
    void addLeaveOneOutTests(final String node) {
        withoutNode.put(node, allNodes.copy());
    }

    /**
     * Adds a block.
     *
     * @param counts the sums of the block, not null.
     */
    void add(final LeaveOneOutCounts counts) {
        allNodes.add(counts.allNodes());
        counts.withoutNode().forEach((node, sums) -> withoutNode.get(node).add(sums));
    }

    /**
     * Returns the threshold that the evidence must reach to keep an error rate over all routes and kinds of fault
     * together. The error rate is divided among the routes in the order in which their tests were created, with
     * shares whose sum does not exceed it for any number of routes.
     *
     * @param errorRate the error rate, above 0 and below 1.
     * @return the threshold for the natural logarithm of the evidence.
     */
    double logEvidenceThreshold(final double errorRate) {
        double divisor = (creationIndex + 1.0) * (creationIndex + 2.0) * FaultKind.values().length;
        return Math.log(divisor / errorRate);
    }

    /**
     * Returns the tests over all nodes.
     *
     * @return the tests, never null.
     */
    FaultTests allNodes() {
        return allNodes;
    }

    /**
     * Returns the lowest evidence for one kind of fault over the tests that leave one node out.
     *
     * @param kind the kind, not null.
     * @return the natural logarithm of the evidence; positive infinity with fewer than two nodes.
     */
    double lowestLeaveOneOutEvidence(final FaultKind kind) {
        if (withoutNode.size() < 2) {
            return Double.POSITIVE_INFINITY;
        }
        return withoutNode.values().stream()
                .mapToDouble(tests -> tests.logEvidence(kind))
                .min()
                .orElseThrow();
    }
}
