package org.sequoiashunt.fleet;

import java.util.Objects;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Control message that asks a node for its configuration. Immutable and thread-safe.
 *
 * @param replyTo the link address of the requesting node.
 * @param knownVersion the configuration version of the requesting node, zero for none.
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
