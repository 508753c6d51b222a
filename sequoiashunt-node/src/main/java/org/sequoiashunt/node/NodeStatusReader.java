package org.sequoiashunt.node;

import java.util.List;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.gate.NodeGate;
import org.sequoiashunt.lead.ReplicaNode;
import org.sequoiashunt.membership.ServedTarget;
import org.sequoiashunt.rollout.RolloutProgress;

/**
 * Collects the status of a node from its components. Immutable and thread-safe, as its components are.
 */
final class NodeStatusReader {

    private final NodeSettings settings;
    private final ReplicaNode replica;
    private final NodeGate gate;

    NodeStatusReader(final NodeSettings settings, final ReplicaNode replica, final NodeGate gate) {
        this.settings = settings;
        this.replica = replica;
        this.gate = gate;
    }

    NodeStatus read() {
        return new NodeStatus(
                settings.node(),
                settings.failureDomain(),
                settings.region(),
                replica.membership().localMember().member().state().name(),
                replica.configuration().versionInForce(),
                replica.configuration().refusal(),
                replica.lease().isHeld(),
                replica.membership()
                        .view()
                        .presentInLeadOrder(settings.failureDomain())
                        .size(),
                gate.servedTargets().stream().map(NodeStatusReader::describe).toList(),
                moves());
    }

    private static String describe(final ServedTarget target) {
        return "%s: %s %s, %d slots, %s"
                .formatted(target.target(), target.service(), target.targetVersion(), target.slots(), target.state());
    }

    private List<String> moves() {
        return replica.blackboard().values(Section.ROLLOUT, RolloutProgress.class).stream()
                .map(progress -> "%s: %s at %d parts per million, %s"
                        .formatted(progress.move(), progress.stage(), progress.shareParts(), progress.reason()))
                .toList();
    }
}
