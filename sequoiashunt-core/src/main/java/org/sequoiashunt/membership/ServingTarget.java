package org.sequoiashunt.membership;

import java.util.Objects;
import org.sequoiashunt.peer.NodeAddress;

/**
 * A target that takes new work, with the node in front of it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param node the name of the target's node.
 * @param address where other nodes reach that node.
 * @param failureDomain the failure domain of the node.
 * @param region the region of the failure domain.
 * @param suspected whether the node is suspected of being down; prefer others.
 * @param target the target.
 */
public record ServingTarget(
        String node, NodeAddress address, String failureDomain, String region, boolean suspected, ServedTarget target) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     */
    public ServingTarget {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(target, "target");
    }
}
