package org.sequoiashunt.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Snapshot of the members and their presence as one node sees them. Two nodes with the same entries and expired
 * suspicions have equal views.
 *
 * <p>Get it from {@link MembershipController#view()}; do not keep it for longer than one decision.
 *
 * <p>Immutable and thread-safe.
 */
public final class MembershipView {

    private static final Comparator<Ranked> LEAD_ORDER = Comparator.comparingInt(Ranked::unfitness)
            .thenComparingLong(Ranked::hash)
            .thenComparing(Ranked::node);

    private final SortedMap<String, ObservedMember> members;
    private final Map<String, List<ObservedMember>> presentByDomain = new TreeMap<>();
    private final Map<String, List<ServingTarget>> servingTargetsByService = new TreeMap<>();
    private final Map<String, List<Member>> membersByService = new TreeMap<>();
    private final Map<String, String> regionByDomain = new TreeMap<>();

    private MembershipView(final SortedMap<String, ObservedMember> members) {
        this.members = members;
        members.values().forEach(this::index);
        presentByDomain.replaceAll(MembershipView::inLeadOrder);
    }

    /**
     * Creates a view.
     *
     * @param members the members with their presence, one per name, not null.
     * @return the view, never null.
     */
    public static MembershipView of(final Collection<ObservedMember> members) {
        SortedMap<String, ObservedMember> byName = new TreeMap<>();
        members.forEach(observed -> byName.put(observed.member().node(), observed));
        return new MembershipView(byName);
    }

    /**
     * Finds a member, present or gone.
     *
     * @param node the name of the member, not null.
     * @return the member with its presence, or empty if the name is unknown.
     */
    public Optional<ObservedMember> find(final String node) {
        return Optional.ofNullable(members.get(node));
    }

    /**
     * Lists all members that have an entry, present or gone.
     *
     * @return the members, ordered by name, unmodifiable.
     */
    public Collection<ObservedMember> members() {
        return Collections.unmodifiableCollection(members.values());
    }

    /**
     * Lists the targets of a service that take new work.
     *
     * @param service the service, not null.
     * @return the targets, ordered by node, unmodifiable; empty if there are none.
     */
    public List<ServingTarget> servingTargets(final String service) {
        return Collections.unmodifiableList(servingTargetsByService.getOrDefault(service, List.of()));
    }

    /**
     * Lists the services that some present member has a target of.
     *
     * @return the services, ordered, unmodifiable.
     */
    public Set<String> services() {
        return Collections.unmodifiableSet(membersByService.keySet());
    }

    /**
     * Lists the present members that have a target of a service, whether or not it takes new work.
     *
     * @param service the service, not null.
     * @return the members, ordered by name, unmodifiable; empty if there are none.
     */
    public List<Member> membersWithTargetOf(final String service) {
        return Collections.unmodifiableList(membersByService.getOrDefault(service, List.of()));
    }

    /**
     * Lists the present members of a failure domain in the order in which they act as its lead: those that serve and
     * are not suspected first, each group by rendezvous hash.
     *
     * @param failureDomain the failure domain, not null.
     * @return the members, unmodifiable; empty if there are none.
     */
    public List<Member> presentInLeadOrder(final String failureDomain) {
        List<ObservedMember> present = presentByDomain.getOrDefault(failureDomain, List.of());
        return present.stream().map(ObservedMember::member).toList();
    }

    /**
     * Returns the first of the {@link #presentInLeadOrder ranked} members of a failure domain.
     *
     * @param failureDomain the failure domain, not null.
     * @return the member, or empty if none is present.
     */
    public Optional<Member> lead(final String failureDomain) {
        return presentByDomain.getOrDefault(failureDomain, List.of()).stream()
                .map(ObservedMember::member)
                .findFirst();
    }

    /**
     * Lists the failure domains of all members, present or gone.
     *
     * @return the failure domains, ordered, unmodifiable.
     */
    public SortedSet<String> failureDomains() {
        return Collections.unmodifiableSortedSet(new TreeSet<>(regionByDomain.keySet()));
    }

    /**
     * Returns the region of a failure domain.
     *
     * @param failureDomain the failure domain, not null.
     * @return the region, or empty if no member of the failure domain has an entry.
     */
    public Optional<String> regionOf(final String failureDomain) {
        return Optional.ofNullable(regionByDomain.get(failureDomain));
    }

    private void index(final ObservedMember observed) {
        Member member = observed.member();
        regionByDomain.put(member.failureDomain(), member.region());
        if (!observed.presence().isPresent()) {
            return;
        }
        presentByDomain
                .computeIfAbsent(member.failureDomain(), domain -> new ArrayList<>())
                .add(observed);
        for (ServedTarget target : member.targets()) {
            indexTarget(observed, target);
        }
    }

    private void indexTarget(final ObservedMember observed, final ServedTarget target) {
        Member member = observed.member();
        List<Member> holders = membersByService.computeIfAbsent(target.service(), service -> new ArrayList<>());
        if (holders.isEmpty() || !holders.get(holders.size() - 1).equals(member)) {
            holders.add(member);
        }
        if (member.state().acceptsWork() && target.state().acceptsWork()) {
            servingTargetsByService
                    .computeIfAbsent(target.service(), service -> new ArrayList<>())
                    .add(servingTarget(observed, target));
        }
    }

    private static ServingTarget servingTarget(final ObservedMember observed, final ServedTarget target) {
        Member member = observed.member();
        boolean suspected = observed.presence() == ObservedMember.Presence.SUSPECTED;
        return new ServingTarget(
                member.node(), member.address(), member.failureDomain(), member.region(), suspected, target);
    }

    private static List<ObservedMember> inLeadOrder(final String failureDomain, final List<ObservedMember> present) {
        long domainHash = StableHash.of(failureDomain);
        List<Ranked> ranked = new ArrayList<>(present.size());
        for (ObservedMember observed : present) {
            String node = observed.member().node();
            long hash = StableHash.combine(domainHash, StableHash.of(node));
            ranked.add(new Ranked(leadPriority(observed), hash, node, observed));
        }
        ranked.sort(LEAD_ORDER);
        return ranked.stream().map(Ranked::observed).toList();
    }

    private static int leadPriority(final ObservedMember observed) {
        if (observed.presence() != ObservedMember.Presence.ALIVE) {
            return 2;
        }
        return switch (observed.member().state()) {
            case SERVING -> 0;
            case JOINING -> 1;
            default -> 2;
        };
    }

    /** Member with its sort keys in the lead order; the lowest priority comes first. Immutable and thread-safe. */
    private record Ranked(int unfitness, long hash, String node, ObservedMember observed) {}
}
