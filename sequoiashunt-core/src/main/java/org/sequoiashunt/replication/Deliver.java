package org.sequoiashunt.replication;

import java.util.List;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.peer.ControlMessage;

/**
 * Brings entries to a peer.
 *
 * <p>Immutable and thread-safe. Invariant: the list is unmodifiable.
 *
 * @param entries the entries.
 */
public record Deliver(List<Entry> entries) implements ControlMessage {

    /**
     * Copies the list.
     *
     * @throws NullPointerException if a component is null.
     */
    public Deliver {
        entries = List.copyOf(entries);
    }
}
