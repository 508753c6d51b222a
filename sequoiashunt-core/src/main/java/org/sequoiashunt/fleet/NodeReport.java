package org.sequoiashunt.fleet;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Control message in which a node reports its state, its targets and what it knows of moves and other nodes.
 *
 * <p>Immutable and thread-safe. The sequence orders the reports of one incarnation.
 *
 * @param node the name of the node.
 * @param incarnation the number of the process, different for each start of the node.
 * @param sequence the number of the report within the incarnation.
 * @param address the link address of the node.
 * @param failureDomain the failure domain of the node.
 * @param region the region of the node.
 * @param capacity the processor capacity of the node's VM, in thousandths of a core.
 * @param leaving whether the node is shutting down.
 * @param configurationVersion the configuration version in force, zero for none.
 * @param confirmedAgeMs the time since the platform's store last confirmed directly to the node that this version is
 *     the latest, in milliseconds, empty if it never did.
 * @param targets the targets that announce themselves to the node.
 * @param tallies the answer counts of the node's targets, for services with a move.
 * @param moves the moves that the node knows.
 * @param crashes what the node knows of requests that were at work at targets that crashed.
 * @param knownNodes the nodes that the node knows.
 * @param evacuations the evacuations that the node knows, revoked ones too.
 * @param evacuationsUnknown whether the node's configuration calls for evacuations and the node does not know those in
 *     force, so that {@code evacuations} may lack some.
 */
public record NodeReport(
        String node,
        long incarnation,
        long sequence,
        NodeAddress address,
        String failureDomain,
        String region,
        int capacity,
        boolean leaving,
        long configurationVersion,
        OptionalLong confirmedAgeMs,
        List<TargetReport> targets,
        List<VersionTally> tallies,
        List<VersionMove> moves,
        List<CrashRecord> crashes,
        List<KnownNode> knownNodes,
        List<Evacuation> evacuations,
        boolean evacuationsUnknown)
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
        crashes = List.copyOf(crashes);
        knownNodes = List.copyOf(knownNodes);
        evacuations = List.copyOf(evacuations);
    }

    /**
     * Returns a copy without the known nodes, which a relay does not pass on: the relayed reports name their nodes.
     *
     * @return the copy, never null.
     */
    public NodeReport withoutKnownNodes() {
        return new NodeReport(
                node,
                incarnation,
                sequence,
                address,
                failureDomain,
                region,
                capacity,
                leaving,
                configurationVersion,
                confirmedAgeMs,
                targets,
                tallies,
                moves,
                crashes,
                List.of(),
                evacuations,
                evacuationsUnknown);
    }

    /**
     * Returns the node's name, address and failure domain.
     *
     * @return the node, never null.
     */
    public KnownNode asKnownNode() {
        return new KnownNode(node, address, failureDomain);
    }
}
