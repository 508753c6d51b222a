package org.sequoiashunt.placement;

import java.util.Objects;
import org.sequoiashunt.fleet.KnownNode;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Name, link address, failure domain and region of a node. Immutable and thread-safe.
 *
 * @param node the name of the node, not null.
 * @param address the address at which the node accepts links, not null.
 * @param failureDomain the name of the failure domain, not null.
 * @param region the name of the region, not null.
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

    /**
     * Returns the node's name, address and failure domain.
     *
     * @return the node, never null.
     */
    public KnownNode asKnownNode() {
        return new KnownNode(node, address, failureDomain);
    }
}
