package org.sequoiashunt.rollout;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Tests of one route over all nodes, and over all but each node that serves the new version. Confined to one thread.
 */
final class RouteTests {

    private final int rank;
    private final FaultTests all = new FaultTests();
    private final Map<String, FaultTests> withoutNode = new TreeMap<>();

    /**
     * Creates tests that have seen nothing.
     *
     * @param rank how many other subjects were tested before this one.
     * @param nodes the nodes known to serve the new version, not null.
     */
    RouteTests(final int rank, final Set<String> nodes) {
        this.rank = rank;
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
    void add(final LeaveOneOutCounts counts) {
        all.add(counts.all());
        counts.withoutNode().forEach((node, sums) -> withoutNode.get(node).add(sums));
    }

    /**
     * Returns what evidence must reach for an error rate over all subjects and kinds of fault together. The rate is
     * split over the subjects in the order in which they turned up, so that it holds for any number of them.
     *
     * @param errorRate the error rate, above 0 and below 1.
     * @return the bound on the natural logarithm of the evidence.
     */
    double bound(final double errorRate) {
        double split = (rank + 1.0) * (rank + 2.0) * FaultKind.values().length;
        return Math.log(split / errorRate);
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
