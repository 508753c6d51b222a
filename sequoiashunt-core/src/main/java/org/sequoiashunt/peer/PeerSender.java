package org.sequoiashunt.peer;

/**
 * Sends control messages to other nodes.
 *
 * <p>Delivery is best effort: a message may be lost, repeated or overtaken. Implementations are thread-safe and never
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
}
