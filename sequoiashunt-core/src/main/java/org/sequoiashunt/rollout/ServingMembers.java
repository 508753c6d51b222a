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
 * Index of the nodes that serve each service, with the versions they serve.
 *
 * <p>{@link #of(Supplier, Clock)}, which a node uses, leaves out members that are gone in its membership view, so
 * that another node takes over the control of a rollout. {@link #of(Blackboard, Clock)} uses the published state of
 * every member, without regard to its presence.
 *
 * <p>Thread-safe: the derived index is an immutable value behind one reference. It is rebuilt under this object's
 * monitor when the membership has changed, at most once per {@value #REFRESH_INTERVAL_MS} ms, so that frequent
 * changes among thousands of members do not make every request scan them.
 */
public final class ServingMembers {

    private static final long REFRESH_INTERVAL_MS = 100;

    private final Supplier<Object> membershipState;
    private final Supplier<List<Member>> members;
    private final Clock clock;
    private volatile Index index = new Index(new Object(), Long.MIN_VALUE / 2, Map.of());

    private ServingMembers(
            final Supplier<Object> membershipState, final Supplier<List<Member>> members, final Clock clock) {
        this.membershipState = membershipState;
        this.members = members;
        this.clock = clock;
    }

    /**
     * Creates an index of all members on a blackboard.
     *
     * @param blackboard the blackboard to read the members from, not null.
     * @param clock the clock, not null.
     * @return the index, never null.
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
     * Creates an index of the members that are present in a membership view.
     *
     * @param views supplies the present view of the members, not null.
     * @param clock the clock, not null.
     * @return the index, never null.
     */
    public static ServingMembers of(final Supplier<MembershipView> views, final Clock clock) {
        Objects.requireNonNull(views, "views");
        Objects.requireNonNull(clock, "clock");
        return new ServingMembers(views::get, () -> presentMembers(views.get()), clock);
    }

    private static List<Member> presentMembers(final MembershipView view) {
        return view.members().stream()
                .filter(observed -> observed.presence().isPresent())
                .map(ObservedMember::member)
                .toList();
    }

    /**
     * Tells whether a target of a version takes new work.
     *
     * @param service the service, not null.
     * @param targetVersion the target version, not null.
     * @return true if at least one such target is listed on a node that accepts work.
     */
    public boolean serves(final String service, final String targetVersion) {
        return nodes(service).stream().anyMatch(node -> node.targetVersions().contains(targetVersion));
    }

    /**
     * Lists the nodes that serve a service in any version.
     *
     * @param service the service, not null.
     * @return the nodes, ordered by name; empty if none serves the service.
     */
    public List<ServingNode> nodes(final String service) {
        return currentIndex().nodesByService().getOrDefault(service, List.of());
    }

    private Index currentIndex() {
        Index latestIndex = index;
        if (isFresh(latestIndex)) {
            return latestIndex;
        }
        return refreshIndex();
    }

    private boolean isFresh(final Index candidate) {
        return candidate.membershipState().equals(membershipState.get())
                || clock.nowMs() - candidate.atMs() < REFRESH_INTERVAL_MS;
    }

    private synchronized Index refreshIndex() {
        if (isFresh(index)) {
            return index;
        }
        Object currentState = membershipState.get();
        Map<String, List<ServingNode>> nodesByService = new HashMap<>();
        for (Member member : members.get()) {
            if (member.state().acceptsWork()) {
                addServices(nodesByService, member);
            }
        }
        index = new Index(currentState, clock.nowMs(), nodesByService);
        return index;
    }

    private static void addServices(final Map<String, List<ServingNode>> nodesByService, final Member member) {
        Map<String, List<String>> versionsByService = new HashMap<>();
        for (ServedTarget target : member.targets()) {
            if (target.state().acceptsWork()) {
                versionsByService
                        .computeIfAbsent(target.service(), key -> new ArrayList<>())
                        .add(target.targetVersion());
            }
        }
        versionsByService.forEach((service, targetVersions) -> nodesByService
                .computeIfAbsent(service, key -> new ArrayList<>())
                .add(new ServingNode(member.node(), member.failureDomain(), List.copyOf(targetVersions))));
    }

    /**
     * A node that serves a service. Immutable and thread-safe.
     *
     * @param node the name of the node.
     * @param failureDomain the failure domain of the node.
     * @param targetVersions the version of each target of the service on the node that accepts work.
     */
    public record ServingNode(String node, String failureDomain, List<String> targetVersions) {}

    /**
     * Serving nodes by service, with the membership state and the time they were derived from. Never changed after
     * publication.
     */
    private record Index(Object membershipState, long atMs, Map<String, List<ServingNode>> nodesByService) {}
}
