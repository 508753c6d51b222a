package org.sequoiashunt.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Supplier;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.membership.Member;
import org.sequoiashunt.membership.MembershipView;
import org.sequoiashunt.membership.ObservedMember;
import org.sequoiashunt.membership.ServedTarget;
import org.sequoiashunt.time.Clock;

/**
 * Tells which nodes serve a service, and in which versions.
 *
 * <p>A node uses {@link #of(Supplier, Clock)}: who is gone by its view of the members does not serve, so that another
 * node takes over the control of a rollout. {@link #of(Blackboard, Clock)} takes every member at its word.
 *
 * <p>Thread-safe: the derived index is an immutable value behind one reference, rebuilt under this object's monitor
 * when the membership has changed, at most once per {@value #REFRESH_INTERVAL_MS} ms so that churn among thousands of
 * members does not cost every request a scan.
 */
public final class ServingMembers {

    private static final long REFRESH_INTERVAL_MS = 100;

    private final Supplier<Object> state;
    private final Supplier<List<Member>> members;
    private final Clock clock;
    private volatile Index index = new Index(new Object(), Long.MIN_VALUE / 2, Map.of());

    private ServingMembers(final Supplier<Object> state, final Supplier<List<Member>> members, final Clock clock) {
        this.state = state;
        this.members = members;
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
        return new ServingMembers(
                () -> blackboard.changeCount(Section.MEMBER),
                () -> blackboard.values(Section.MEMBER, Member.class),
                clock);
    }

    /**
     * Creates a view of the members that are present.
     *
     * @param views gives the present view of the members, not null.
     * @param clock the clock, not null.
     * @return the view, never null.
     */
    public static ServingMembers of(final Supplier<MembershipView> views, final Clock clock) {
        Objects.requireNonNull(views, "views");
        Objects.requireNonNull(clock, "clock");
        return new ServingMembers(views::get, () -> presentMembers(views.get()), clock);
    }

    private static List<Member> presentMembers(final MembershipView view) {
        return view.all().stream()
                .filter(standing -> standing.presence().isPresent())
                .map(ObservedMember::member)
                .toList();
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
        return present.state().equals(state.get()) || clock.nowMs() - present.atMs() < REFRESH_INTERVAL_MS;
    }

    private synchronized Index refresh() {
        if (isFresh(index)) {
            return index;
        }
        Object present = state.get();
        Map<String, List<ServingNode>> nodes = new HashMap<>();
        for (Member member : members.get()) {
            if (member.state().acceptsWork()) {
                addServices(nodes, member);
            }
        }
        index = new Index(present, clock.nowMs(), nodes);
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
    private record Index(Object state, long atMs, Map<String, List<ServingNode>> nodes) {}
}
