package org.sequoiashunt.rollout;

import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.membership.Member;
import org.sequoiashunt.rollout.ServingMembers.ServingNode;

/**
 * Notices that all targets of a new version are gone while the nodes that served them are still there.
 *
 * <p>Nodes that vanish together with their targets are no sign of a fault of the version: their VMs have failed, or a
 * network partition hides them. Confined to one thread.
 */
final class TargetLossDetector {

    private static final long GONE_TIME_MS = 3_000;

    private final String service;
    private final String targetVersion;
    private final Blackboard blackboard;
    private final ServingMembers serving;
    private final Set<String> hosts = new TreeSet<>();
    private long servedAtMs;

    TargetLossDetector(
            final String service,
            final String targetVersion,
            final Blackboard blackboard,
            final ServingMembers serving) {
        this.service = service;
        this.targetVersion = targetVersion;
        this.blackboard = blackboard;
        this.serving = serving;
    }

    /**
     * Looks at the members.
     *
     * @param nowMs the current time in milliseconds.
     * @return an explanation if the targets are gone, or empty.
     */
    Optional<String> look(final long nowMs) {
        boolean served = false;
        for (ServingNode present : serving.nodes(service)) {
            if (present.targetVersions().contains(targetVersion)) {
                hosts.add(present.node());
                served = true;
            }
        }
        if (served || !hostsRemain()) {
            servedAtMs = nowMs;
            return Optional.empty();
        }
        boolean lasting = nowMs - servedAtMs >= GONE_TIME_MS;
        return lasting ? Optional.of("all targets of " + targetVersion + " are gone") : Optional.empty();
    }

    private boolean hostsRemain() {
        long remaining = hosts.stream().filter(this::isServing).count();
        return remaining > 0 && remaining * 2 >= hosts.size();
    }

    private boolean isServing(final String node) {
        return blackboard
                .value(Section.MEMBER, node, Member.class)
                .filter(member -> member.state().acceptsWork())
                .isPresent();
    }
}
