package org.sequoiashunt.fleet;

import java.util.List;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.target.TargetDeparture;

/**
 * Control message that confirms that a peer keeps departures. Immutable and thread-safe.
 *
 * @param departures the departures, not null.
 */
public record DepartureReceipt(List<TargetDeparture> departures) implements ControlMessage {

    /**
     * Copies the list.
     *
     * @throws NullPointerException if the list is null.
     */
    public DepartureReceipt {
        departures = List.copyOf(departures);
    }
}
