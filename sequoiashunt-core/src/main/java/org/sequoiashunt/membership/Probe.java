package org.sequoiashunt.membership;

import java.util.Objects;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Asks a member whether it is there. It answers with a {@link ProbeAnswer}.
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
