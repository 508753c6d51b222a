package org.sequoiashunt.quota;

import java.util.List;
import java.util.Objects;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Message of a node to the coordinator: the requests that it has admitted and refused.
 *
 * <p>Immutable and thread-safe.
 *
 * @param replyTo the address of the node.
 * @param session the session, new for each process and each change of the coordinator; counts start at zero with it.
 * @param sequence the number of the report in its session, from 1.
 * @param grantSequence the number of the latest grant that the node obeys, 0 for none.
 * @param nodes the most nodes that the node has seen lately, including itself.
 * @param leaving true if the node reports to another coordinator from now on or stops.
 * @param usages the organisations whose counts have changed since a report that the coordinator has confirmed.
 */
public record QuotaReport(
        NodeAddress replyTo,
        long session,
        long sequence,
        long grantSequence,
        int nodes,
        boolean leaving,
        List<Usage> usages)
        implements ControlMessage {

    /** Parts of the window in which a new session states the requests that were admitted before it. */
    static final int EARLIER_PARTS = 5;

    /** Checks the components and copies the list. */
    public QuotaReport {
        Objects.requireNonNull(replyTo, "replyTo");
        usages = List.copyOf(usages);
    }

    /**
     * Requests of an organisation at one node. Immutable and thread-safe.
     *
     * @param organisation the identity of the organisation on the wire, a hash of its name.
     * @param admitted the requests admitted in this session.
     * @param refused the requests refused since the previous report.
     * @param fillPercent the part of the limit that had been used over all nodes, as the coordinator stated last, in
     *     percent; 0 if it was small.
     * @param earlier the requests admitted before this session, by fifths of the window, the latest first; empty
     *     if there were none or the coordinator has confirmed the session.
     */
    public record Usage(long organisation, long admitted, int refused, int fillPercent, List<Integer> earlier) {

        /** Copies the list. */
        public Usage {
            earlier = List.copyOf(earlier);
        }
    }
}
