package org.sequoiashunt.fleet;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;

/**
 * What a node tells the others about itself, its targets and what it has learned.
 *
 * <p>Immutable and thread-safe. The sequence orders the reports of one incarnation.
 *
 * @param node the name of the node.
 * @param incarnation number of the process, different for each start of the node.
 * @param sequence number of the report.
 * @param address the link address.
 * @param failureDomain the failure domain.
 * @param region the region.
 * @param leaving whether the node shuts down.
 * @param configurationVersion the version in force, zero for none.
 * @param confirmedAgeMs how long ago the platform's store confirmed to the node itself that this version is the latest,
 *     in milliseconds, empty if it never did.
 * @param targets the targets that announce themselves to it.
 * @param tallies what its targets answered, for services with a move.
 * @param moves the moves that it knows.
 * @param known nodes that it knows.
 */
public record NodeReport(
        String node,
        long incarnation,
        long sequence,
        NodeAddress address,
        String failureDomain,
        String region,
        boolean leaving,
        long configurationVersion,
        OptionalLong confirmedAgeMs,
        List<TargetReport> targets,
        List<VersionTally> tallies,
        List<VersionMove> moves,
        List<KnownNode> known)
        implements ControlMessage {

    /**
     * Checks the components and copies the lists.
     *
     * @throws NullPointerException if a component is null.
     */
    public NodeReport {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(confirmedAgeMs, "confirmedAgeMs");
        targets = List.copyOf(targets);
        tallies = List.copyOf(tallies);
        moves = List.copyOf(moves);
        known = List.copyOf(known);
    }
}
