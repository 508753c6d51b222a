package org.sequoiashunt.replication;

import java.util.List;
import java.util.Objects;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Brings entries to a peer.
 *
 * <p>Immutable and thread-safe. Invariant: the list is unmodifiable.
 *
 * @param entries the entries.
 * @param replyTo the link address of the sender, from which the receiver pulls what the entries refer to.
 */
public record Deliver(List<Entry> entries, NodeAddress replyTo) implements ControlMessage {

    /**
     * Checks the components and copies the list.
     *
     * @throws NullPointerException if a component is null.
     */
    public Deliver {
        entries = List.copyOf(entries);
        Objects.requireNonNull(replyTo, "replyTo");
    }
}
