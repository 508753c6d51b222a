package org.sequoiashunt.replication;

import java.util.List;
import java.util.Objects;
import org.sequoiashunt.blackboard.EntryKey;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Asks a peer for entries. The peer answers with {@link Deliver} messages, and with a {@link HeadDelta} where it can
 * state the head of the configuration as a difference.
 *
 * <p>Immutable and thread-safe. Invariant: the list is unmodifiable.
 *
 * @param keys the keys asked for.
 * @param headVersion the version of the configuration head that the sender has, zero for none.
 * @param replyTo the link address of the sender.
 */
public record Pull(List<EntryKey> keys, long headVersion, NodeAddress replyTo) implements ControlMessage {

    /**
     * Checks the components and copies the list.
     *
     * @throws NullPointerException if a component is null.
     */
    public Pull {
        keys = List.copyOf(keys);
        Objects.requireNonNull(replyTo, "replyTo");
    }
}
