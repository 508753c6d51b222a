package org.sequoiashunt.fleet;

import java.util.Objects;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Node that others can be told of. Immutable and thread-safe.
 *
 * @param node the name of the node.
 * @param address its link address.
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
