package org.sequoiashunt.link;

import org.sequoiashunt.peer.ControlMessage;

/** Receives control messages from peers. Implementations are thread-safe and never block. */
@FunctionalInterface
public interface ControlReceiver {

    /**
     * Processes a message.
     *
     * @param sender the name of the node that sent it, never null.
     * @param message the message, never null.
     */
    void receive(String sender, ControlMessage message);

    /**
     * Processes a message whose length is known, so that a queue of messages can be bounded in bytes.
     *
     * @param sender the name of the node that sent it, never null.
     * @param message the message, never null.
     * @param bytes the length of the encoded message.
     */
    default void receive(final String sender, final ControlMessage message, final int bytes) {
        receive(sender, message);
    }
}
