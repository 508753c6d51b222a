package org.sequoiashunt.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.membership.Member;
import org.sequoiashunt.membership.ServedTarget;
import org.sequoiashunt.time.Clock;

/**
 * Tells which nodes serve a service, and in which versions, by the members on the blackboard.
 *
 * <p>Thread-safe: the derived index is an immutable value behind one reference, rebuilt under this object's monitor
 * when the membership has changed, at most once per {@value #REFRESH_INTERVAL_MS} ms so that churn among thousands of
 * members does not cost every request a scan.
 */
public final class ServingMembers {

    private static final long REFRESH_INTERVAL_MS = 100;

    private final Blackboard blackboard;
    private final Clock clock;
    private volatile Index index = new Index(-1, Long.MIN_VALUE / 2, Map.of());

    private ServingMembers(final Blackboard blackboard, final Clock clock) {
        this.blackboard = blackboard;
        this.clock = clock;
    }

    /**
     * Creates a view.
     *
     * @param blackboard the blackboard to read, not null.
     * @param clock the clock, not null.
     * @return the view, never null.
     */
    public static ServingMembers of(final Blackboard blackboard, final Clock clock) {
        Objects.requireNonNull(blackboard, "blackboard");
        Objects.requireNonNull(clock, "clock");
        return new ServingMembers(blackboard, clock);
    }

    /**
     * Tells whether a target of a version takes new work.
     *
     * @param service the service, not null.
     * @param targetVersion the target version, not null.
     * @return true if at least one such target is known on a node that serves.
     */
    public boolean serves(final String service, final String targetVersion) {
        return nodes(service).stream().anyMatch(node -> node.targetVersions().contains(targetVersion));
    }

    /**
     * Lists the nodes that serve a service in any version.
     *
     * @param service the service, not null.
     * @return the nodes, ordered by name; empty if none is known.
     */
    public List<ServingNode> nodes(final String service) {
        return current().nodes().getOrDefault(service, List.of());
    }

    private Index current() {
        Index present = index;
        if (isFresh(present)) {
            return present;
        }
        return refresh();
    }

    private boolean isFresh(final Index present) {
        return present.changes() == blackboard.changeCount(Section.MEMBER)
                || clock.nowMs() - present.atMs() < REFRESH_INTERVAL_MS;
    }

    private synchronized Index refresh() {
        if (isFresh(index)) {
            return index;
        }
        long changes = blackboard.changeCount(Section.MEMBER);
        Map<String, List<ServingNode>> nodes = new HashMap<>();
        for (Member member : blackboard.values(Section.MEMBER, Member.class)) {
            if (member.state().acceptsWork()) {
                addServices(nodes, member);
            }
        }
        index = new Index(changes, clock.nowMs(), nodes);
        return index;
    }

    private static void addServices(final Map<String, List<ServingNode>> nodes, final Member member) {
        Map<String, List<String>> versions = new HashMap<>();
        for (ServedTarget target : member.targets()) {
            if (target.state().acceptsWork()) {
                versions.computeIfAbsent(target.service(), key -> new ArrayList<>())
                        .add(target.targetVersion());
            }
        }
        versions.forEach((service, served) -> nodes.computeIfAbsent(service, key -> new ArrayList<>())
                .add(new ServingNode(member.node(), member.failureDomain(), List.copyOf(served))));
    }

    /**
     * A node that serves a service. Immutable and thread-safe.
     *
     * @param node the name of the node.
     * @param failureDomain its failure domain.
     * @param targetVersions the version of each of its targets of the service.
     */
    public record ServingNode(String node, String failureDomain, List<String> targetVersions) {}

    /** What was derived at one time. Never changed after publication. */
    private record Index(long changes, long atMs, Map<String, List<ServingNode>> nodes) {}
}
