package org.sequoiashunt.routing;

import java.util.Objects;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Target to which a request may be sent. Immutable and thread-safe.
 *
 * @param node the node of the target's VM.
 * @param gate the link address of that node.
 * @param failureDomain the failure domain of the VM.
 * @param region the region of the failure domain.
 * @param target the name of the target on its node.
 * @param targetVersion the version that the target runs.
 * @param slots how many requests the target runs at a time.
 */
public record Candidate(
        String node,
        NodeAddress gate,
        String failureDomain,
        String region,
        String target,
        String targetVersion,
        int slots) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     */
    public Candidate {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(gate, "gate");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(targetVersion, "targetVersion");
    }

    /**
     * Returns the name under which load and failures of this target are kept.
     *
     * @return node and target, joined by a slash.
     */
    public String identity() {
        return node + "/" + target;
    }
}
