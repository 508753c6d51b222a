package org.sequoiashunt.fleet;

import java.util.Objects;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Name, address and failure domain of a node, passed on to other nodes in reports. Immutable and thread-safe.
 *
 * @param node the name of the node.
 * @param address the link address of the node.
 * @param failureDomain the failure domain of the node, an empty text if it is not known.
 */
public record KnownNode(String node, NodeAddress address, String failureDomain) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     */
    public KnownNode {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(failureDomain, "failureDomain");
    }
}
