package org.sequoiashunt.quota;

import java.util.List;
import org.sequoiashunt.peer.ControlMessage;

/**
 * Reply of the coordinator to a {@link QuotaReport}: how many requests the node may admit.
 *
 * <p>Immutable and thread-safe.
 *
 * @param session the session of the report.
 * @param reportSequence the number of the report in its session.
 * @param sequence the number of this grant in the session, from 1; a node obeys the grant with the highest number.
 * @param known false if the coordinator does not know the session because it has restarted; the node starts a new one.
 * @param periodMs the time until the node's next regular report, in milliseconds.
 * @param allowances the organisations whose allowance has changed.
 */
public record QuotaGrant(
        long session, long reportSequence, long sequence, boolean known, int periodMs, List<Allowance> allowances)
        implements ControlMessage {

    /** Copies the list. */
    public QuotaGrant {
        allowances = List.copyOf(allowances);
    }

    /**
     * What a node may admit for one organisation. Immutable and thread-safe.
     *
     * @param organisation the identity of the organisation on the wire, a hash of its name.
     * @param ceiling the requests that the node may admit in the session, including those already admitted.
     * @param waitMs the time after which more room is expected, 0 if there is room now.
     * @param fillPercent the part of the limit that has been used over all nodes, in percent; 0 if it is small.
     */
    public record Allowance(long organisation, long ceiling, int waitMs, int fillPercent) {}
}
