package org.sequoiashunt.peer;

import java.util.Collection;

/**
 * Sends control messages to other nodes.
 *
 * <p>Delivery is best effort: a message may be lost, duplicated or reordered. Implementations are thread-safe and never
 * block.
 */
@FunctionalInterface
public interface PeerSender {

    /**
     * Sends a message.
     *
     * @param receiver the link address of the receiving node, not null.
     * @param message the message, not null.
     */
    void send(NodeAddress receiver, ControlMessage message);

    /**
     * Sends one message to several nodes.
     *
     * @param receivers the link addresses of the receiving nodes, not null; nothing is sent if empty.
     * @param message the message, not null.
     */
    default void send(final Collection<NodeAddress> receivers, final ControlMessage message) {
        receivers.forEach(receiver -> send(receiver, message));
    }
}
