package org.sequoiashunt.execution;

import java.util.Objects;
import org.sequoiashunt.peer.ControlMessage;

/**
 * Tells a node of a roster that it does not know yet.
 *
 * <p>Immutable and thread-safe.
 *
 * @param roster the roster, as the store held it.
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
