package org.sequoiashunt.fleet;

import java.util.Objects;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Asks a node for its configuration. Immutable and thread-safe.
 *
 * @param replyTo the link address of the node that asks.
 * @param knownVersion the version that it has, zero for none.
 */
public record ConfigurationRequest(NodeAddress replyTo, long knownVersion) implements ControlMessage {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if the address is null.
     */
    public ConfigurationRequest {
        Objects.requireNonNull(replyTo, "replyTo");
    }
}
