package org.sequoiashunt.node;

import java.util.List;
import java.util.Objects;

/**
 * Status of one node, as served on its admin address. Immutable and thread-safe.
 *
 * @param node the name of the node.
 * @param failureDomain its failure domain.
 * @param region its region.
 * @param state the member state that the node publishes.
 * @param configurationVersion the configuration version in force, zero for none.
 * @param refusal why a newer version is not in force, empty if there is none.
 * @param lead whether the node is the lead of its failure domain.
 * @param aliveMembers the number of nodes of its failure domain that it considers alive.
 * @param targets the targets announced to it.
 * @param moves one line for each move on its blackboard.
 */
public record NodeStatus(
        String node,
        String failureDomain,
        String region,
        String state,
        long configurationVersion,
        String refusal,
        boolean lead,
        int aliveMembers,
        List<String> targets,
        List<String> moves) {

    /**
     * Checks the components and copies the lists.
     *
     * @throws NullPointerException if a component is null.
     */
    public NodeStatus {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(refusal, "refusal");
        targets = List.copyOf(targets);
        moves = List.copyOf(moves);
    }
}
