package org.sequoiashunt.node;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.sequoiashunt.blackboard.Controller;
import org.sequoiashunt.gate.NodeGate;
import org.sequoiashunt.membership.MembershipController;
import org.sequoiashunt.membership.ServedTarget;
import org.sequoiashunt.rollout.EvidenceCollector;

/**
 * Ticks the gate and announces the targets that it serves to the other nodes.
 *
 * <p>Confined to the control thread.
 */
final class TargetPublisher implements Controller {

    private final NodeGate gate;
    private final MembershipController membership;
    private final EvidenceCollector collector;
    private List<ServedTarget> published = List.of();

    TargetPublisher(final NodeGate gate, final MembershipController membership, final EvidenceCollector collector) {
        this.gate = Objects.requireNonNull(gate, "gate");
        this.membership = Objects.requireNonNull(membership, "membership");
        this.collector = Objects.requireNonNull(collector, "collector");
    }

    @Override
    public void tick() {
        gate.tick();
        List<ServedTarget> current = gate.servedTargets();
        if (current.equals(published)) {
            return;
        }
        membership.announce(current);
        reportStartedTargets(current);
        published = current;
    }

    private void reportStartedTargets(final List<ServedTarget> current) {
        Set<String> publishedNames = new HashSet<>();
        published.forEach(target -> publishedNames.add(target.target()));
        for (ServedTarget target : current) {
            if (!publishedNames.contains(target.target())) {
                collector.targetStarted(target.service(), target.targetVersion());
            }
        }
    }
}
