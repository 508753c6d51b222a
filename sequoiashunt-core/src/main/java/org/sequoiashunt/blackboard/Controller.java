package org.sequoiashunt.blackboard;

import org.sequoiashunt.peer.ControlMessage;

/**
 * Makes one kind of decision. A controller reads and writes the blackboard and acts through the ports given to it.
 *
 * <p>Controllers are deterministic: all time comes from a {@link org.sequoiashunt.time.Clock} and all randomness from a
 * seeded random source. Unless a class says otherwise, a controller is confined to one thread at a time.
 */
public interface Controller {

    /** Does what is due at the current time. Called several times a second; must not block. */
    void tick();

    /**
     * Handles a message from a peer.
     *
     * @param sender the name of the node that sent the message, not null.
     * @param message the message, not null.
     * @return true if the message belongs to this controller.
     */
    default boolean receive(final String sender, final ControlMessage message) {
        return false;
    }
}
