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
 * Keeps the gate up to date and tells the other nodes which targets it holds.
 *
 * <p>Confined to the control thread.
 */
final class TargetPublisher implements Controller {

    private final NodeGate gate;
    private final MembershipController membership;
    private final EvidenceCollector ledger;
    private List<ServedTarget> published = List.of();

    TargetPublisher(final NodeGate gate, final MembershipController membership, final EvidenceCollector ledger) {
        this.gate = Objects.requireNonNull(gate, "gate");
        this.membership = Objects.requireNonNull(membership, "membership");
        this.ledger = Objects.requireNonNull(ledger, "ledger");
    }

    @Override
    public void tick() {
        gate.tick();
        List<ServedTarget> present = gate.servedTargets();
        if (present.equals(published)) {
            return;
        }
        membership.announce(present);
        tellStarts(present);
        published = present;
    }

    private void tellStarts(final List<ServedTarget> present) {
        Set<String> known = new HashSet<>();
        published.forEach(target -> known.add(target.target()));
        for (ServedTarget target : present) {
            if (!known.contains(target.target())) {
                ledger.targetStarted(target.service(), target.targetVersion());
            }
        }
    }
}
