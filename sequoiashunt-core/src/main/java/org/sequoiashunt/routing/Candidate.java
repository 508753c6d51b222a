package org.sequoiashunt.routing;

import java.util.Objects;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Target that is eligible for a request. Immutable and thread-safe.
 *
 * @param node the name of the node on the target's VM.
 * @param gateAddress the link address of that node.
 * @param failureDomain the failure domain of the VM.
 * @param region the region of the failure domain.
 * @param target the name of the target on its node.
 * @param targetVersion the version that the target runs.
 * @param slots the number of requests that the target runs concurrently.
 */
public record Candidate(
        String node,
        NodeAddress gateAddress,
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
        Objects.requireNonNull(gateAddress, "gateAddress");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(targetVersion, "targetVersion");
    }

    /**
     * Returns the key of this target's load and failure statistics.
     *
     * @return the node name and the target name, separated by a slash.
     */
    public String identity() {
        return node + "/" + target;
    }
}
