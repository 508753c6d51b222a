package org.sequoiashunt.replication;

import java.util.List;
import java.util.Objects;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Offers versions of entries to a peer, which pulls those that it lacks.
 *
 * <p>Immutable and thread-safe. Invariant: the list is unmodifiable.
 *
 * @param stamps the versions offered.
 * @param replyTo the link address of the sender.
 */
public record Offer(List<EntryStamp> stamps, NodeAddress replyTo) implements ControlMessage {

    /**
     * Checks the components and copies the list.
     *
     * @throws NullPointerException if a component is null.
     */
    public Offer {
        stamps = List.copyOf(stamps);
        Objects.requireNonNull(replyTo, "replyTo");
    }
}
