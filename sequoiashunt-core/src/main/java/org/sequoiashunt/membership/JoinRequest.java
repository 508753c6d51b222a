package org.sequoiashunt.membership;

import java.util.Objects;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Asks a node whether it is ready and which configuration it has, before the sender serves anything. Answered with a
 * {@link JoinAnswer}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param replyTo the link address of the sender.
 */
public record JoinRequest(NodeAddress replyTo) implements ControlMessage {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     */
    public JoinRequest {
        Objects.requireNonNull(replyTo, "replyTo");
    }
}
