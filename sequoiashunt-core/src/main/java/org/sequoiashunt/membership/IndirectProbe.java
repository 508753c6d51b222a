package org.sequoiashunt.membership;

import java.util.Objects;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Asks a member to probe another one, which the sender could not reach.
 *
 * <p>Immutable and thread-safe.
 *
 * @param number the number that the answer repeats.
 * @param member the name of the member to probe.
 * @param address the link address of the member to probe.
 * @param replyTo the link address of the sender.
 */
public record IndirectProbe(long number, String member, NodeAddress address, NodeAddress replyTo)
        implements ControlMessage {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     */
    public IndirectProbe {
        Objects.requireNonNull(member, "member");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(replyTo, "replyTo");
    }
}
