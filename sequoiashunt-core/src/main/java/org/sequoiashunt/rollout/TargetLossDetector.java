package org.sequoiashunt.rollout;

import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.membership.Member;
import org.sequoiashunt.rollout.ServingMembers.ServingNode;

/**
 * Detects that all targets of a new version are gone while the nodes that served them still serve.
 *
 * <p>The loss of targets together with their nodes is no evidence of a fault of the version: the VMs have failed, or
 * a network partition separates them. Confined to one thread.
 */
final class TargetLossDetector {

    /** Time for which the targets must be gone before their loss counts as a fault, in milliseconds. */
    private static final long LOSS_CONFIRMATION_MS = 3_000;

    private final String service;
    private final String targetVersion;
    private final Blackboard blackboard;
    private final ServingMembers servingMembers;
    private final Set<String> hostNodes = new TreeSet<>();
    private long lastServedMs;

    TargetLossDetector(
            final String service,
            final String targetVersion,
            final Blackboard blackboard,
            final ServingMembers servingMembers) {
        this.service = service;
        this.targetVersion = targetVersion;
        this.blackboard = blackboard;
        this.servingMembers = servingMembers;
    }

    /**
     * Checks whether the targets are gone, for at least {@value #LOSS_CONFIRMATION_MS} ms. Call it on every tick.
     *
     * @param nowMs the current time in milliseconds.
     * @return an explanation, or empty if a target serves, if fewer than half of the nodes remain or if the targets
     *     are gone for too short a time.
     */
    Optional<String> detectLoss(final long nowMs) {
        boolean served = false;
        for (ServingNode servingNode : servingMembers.nodes(service)) {
            if (servingNode.targetVersions().contains(targetVersion)) {
                hostNodes.add(servingNode.node());
                served = true;
            }
        }
        if (served || !isHalfOfHostsServing()) {
            lastServedMs = nowMs;
            return Optional.empty();
        }
        boolean confirmed = nowMs - lastServedMs >= LOSS_CONFIRMATION_MS;
        return confirmed ? Optional.of("all targets of " + targetVersion + " are gone") : Optional.empty();
    }

    private boolean isHalfOfHostsServing() {
        long servingHosts = hostNodes.stream().filter(this::isNodeServing).count();
        return servingHosts > 0 && servingHosts * 2 >= hostNodes.size();
    }

    private boolean isNodeServing(final String node) {
        return blackboard
                .value(Section.MEMBER, node, Member.class)
                .filter(member -> member.state().acceptsWork())
                .isPresent();
    }
}
