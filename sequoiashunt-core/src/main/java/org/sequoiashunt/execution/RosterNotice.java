package org.sequoiashunt.execution;

import java.util.Objects;
import org.sequoiashunt.peer.ControlMessage;

/**
 * Message that sends a roster to a node with an older one.
 *
 * <p>Immutable and thread-safe.
 *
 * @param roster the roster, as read from or written to the store.
 */
public record RosterNotice(Roster roster) implements ControlMessage {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if the roster is null.
     */
    public RosterNotice {
        Objects.requireNonNull(roster, "roster");
    }
}
