package org.sequoiashunt.fleet;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.target.TargetDeparture;

/**
 * Control message with departures of a node's targets: from the node to peers that keep them for it, and back from them
 * to the node when it has restarted. Immutable and thread-safe.
 *
 * @param node the name of the node whose targets departed, not null.
 * @param departures the departures, not null.
 * @param replyTo the link address to which a {@link DepartureReceipt} is sent, or empty if none is needed; not null.
 */
public record DepartureNotice(String node, List<TargetDeparture> departures, Optional<NodeAddress> replyTo)
        implements ControlMessage {

    /**
     * Checks the components and copies the list.
     *
     * @throws NullPointerException if a component is null.
     */
    public DepartureNotice {
        Objects.requireNonNull(node, "node");
        departures = List.copyOf(departures);
        Objects.requireNonNull(replyTo, "replyTo");
    }
}
