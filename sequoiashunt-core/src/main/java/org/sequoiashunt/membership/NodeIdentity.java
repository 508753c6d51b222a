package org.sequoiashunt.membership;

import java.util.Objects;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Identity and location of this node, from its settings.
 *
 * <p>Immutable and thread-safe.
 *
 * @param node the name of the node, unique in the deployment.
 * @param failureDomain the failure domain of the node's VM.
 * @param region the region of the failure domain.
 * @param address where other nodes reach this node.
 */
public record NodeIdentity(String node, String failureDomain, String region, NodeAddress address) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     */
    public NodeIdentity {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(address, "address");
    }
}
