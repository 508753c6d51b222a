package org.sequoiashunt.membership;

import java.util.Objects;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Checks that a member is reachable. The member answers with a {@link ProbeAnswer}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param number the number that the answer repeats.
 * @param replyTo the link address of the sender.
 */
public record Probe(long number, NodeAddress replyTo) implements ControlMessage {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     */
    public Probe {
        Objects.requireNonNull(replyTo, "replyTo");
    }
}
