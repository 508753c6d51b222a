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
}
