package org.sequoiashunt.placement;

import java.util.Objects;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Where a node is. Immutable and thread-safe.
 *
 * @param node the name of the node.
 * @param address its link address.
 * @param failureDomain its failure domain.
 * @param region its region.
 */
public record NodeLocation(String node, NodeAddress address, String failureDomain, String region) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     */
    public NodeLocation {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(region, "region");
    }
}
