package org.sequoiashunt.fleet;

import java.util.Objects;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Name and address of a node, passed on to other nodes in reports. Immutable and thread-safe.
 *
 * @param node the name of the node.
 * @param address the link address of the node.
 */
public record KnownNode(String node, NodeAddress address) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     */
    public KnownNode {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(address, "address");
    }
}
