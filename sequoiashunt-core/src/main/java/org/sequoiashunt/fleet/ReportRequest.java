package org.sequoiashunt.fleet;

import java.util.Objects;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Control message that asks a node for the reports of all nodes that it knows. Immutable and thread-safe.
 *
 * @param replyTo the link address of the requesting node.
 */
public record ReportRequest(NodeAddress replyTo) implements ControlMessage {

    /**
     * Checks the component.
     *
     * @throws NullPointerException if the address is null.
     */
    public ReportRequest {
        Objects.requireNonNull(replyTo, "replyTo");
    }
}
