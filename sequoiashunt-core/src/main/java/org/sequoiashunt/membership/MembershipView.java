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
 * Who is there, as one node sees it at one moment. Two nodes with the same entries and expired suspicions have equal
 * answers.
 *
 * <p>Get it from {@link MembershipController#view()}; do not keep it for longer than one decision.
 *
 * <p>Immutable and thread-safe.
 */
public final class MembershipView {

    private static final Comparator<Ranked> LEAD_ORDER = Comparator.comparingInt(Ranked::unfitness)
            .thenComparingLong(Ranked::hash)
            .thenComparing(Ranked::node);

    private final SortedMap<String, ObservedMember> standings;
    private final Map<String, List<ObservedMember>> presentByDomain = new TreeMap<>();
    private final Map<String, List<ServingTarget>> servingByService = new TreeMap<>();
    private final Map<String, List<Member>> holdersByService = new TreeMap<>();
    private final Map<String, String> regionByDomain = new TreeMap<>();

    private MembershipView(final SortedMap<String, ObservedMember> standings) {
        this.standings = standings;
        standings.values().forEach(this::index);
        presentByDomain.replaceAll(MembershipView::inLeadOrder);
    }

    /**
     * Creates a view.
     *
     * @param standings the members with their presence, one per name, not null.
     * @return the view, never null.
     */
    public static MembershipView of(final Collection<ObservedMember> standings) {
        SortedMap<String, ObservedMember> byName = new TreeMap<>();
        standings.forEach(standing -> byName.put(standing.member().node(), standing));
        return new MembershipView(byName);
    }

    /**
     * Finds a member, present or gone.
     *
     * @param node the name of the member, not null.
     * @return the member with its presence, or empty if the name is unknown.
     */
    public Optional<ObservedMember> find(final String node) {
        return Optional.ofNullable(standings.get(node));
    }

    /**
     * Lists all members known, present or gone.
     *
     * @return the members, ordered by name, unmodifiable.
     */
    public Collection<ObservedMember> all() {
        return Collections.unmodifiableCollection(standings.values());
    }

    /**
     * Lists the targets of a service that take new work.
     *
     * @param service the service, not null.
     * @return the targets, ordered by node, unmodifiable; empty if there are none.
     */
    public List<ServingTarget> serving(final String service) {
        return Collections.unmodifiableList(servingByService.getOrDefault(service, List.of()));
    }

    /**
     * Lists the services that some present member has a target of.
     *
     * @return the services, ordered, unmodifiable.
     */
    public Set<String> services() {
        return Collections.unmodifiableSet(holdersByService.keySet());
    }

    /**
     * Lists the present members that have a target of a service, whether or not it takes new work.
     *
     * @param service the service, not null.
     * @return the members, ordered by name, unmodifiable; empty if there are none.
     */
    public List<Member> holders(final String service) {
        return Collections.unmodifiableList(holdersByService.getOrDefault(service, List.of()));
    }

    /**
     * Lists the present members of a failure domain in the order in which they act as its lead: those that serve and
     * are not suspected first, each group by rendezvous hash.
     *
     * @param failureDomain the failure domain, not null.
     * @return the members, unmodifiable; empty if there are none.
     */
    public List<Member> ranked(final String failureDomain) {
        List<ObservedMember> present = presentByDomain.getOrDefault(failureDomain, List.of());
        return present.stream().map(ObservedMember::member).toList();
    }

    /**
     * Returns the first of the {@link #ranked ranked} members of a failure domain.
     *
     * @param failureDomain the failure domain, not null.
     * @return the member, or empty if none is present.
     */
    public Optional<Member> first(final String failureDomain) {
        return presentByDomain.getOrDefault(failureDomain, List.of()).stream()
                .map(ObservedMember::member)
                .findFirst();
    }

    /**
     * Lists the failure domains of all members known.
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
     * @return the region, or empty if no member of the failure domain is known.
     */
    public Optional<String> region(final String failureDomain) {
        return Optional.ofNullable(regionByDomain.get(failureDomain));
    }

    private void index(final ObservedMember standing) {
        Member member = standing.member();
        regionByDomain.put(member.failureDomain(), member.region());
        if (!standing.presence().isPresent()) {
            return;
        }
        presentByDomain
                .computeIfAbsent(member.failureDomain(), domain -> new ArrayList<>())
                .add(standing);
        for (ServedTarget target : member.targets()) {
            indexTarget(standing, target);
        }
    }

    private void indexTarget(final ObservedMember standing, final ServedTarget target) {
        Member member = standing.member();
        List<Member> holders = holdersByService.computeIfAbsent(target.service(), service -> new ArrayList<>());
        if (holders.isEmpty() || !holders.get(holders.size() - 1).equals(member)) {
            holders.add(member);
        }
        if (member.state().acceptsWork() && target.state().acceptsWork()) {
            servingByService
                    .computeIfAbsent(target.service(), service -> new ArrayList<>())
                    .add(servingTarget(standing, target));
        }
    }

    private static ServingTarget servingTarget(final ObservedMember standing, final ServedTarget target) {
        Member member = standing.member();
        boolean suspected = standing.presence() == ObservedMember.Presence.SUSPECTED;
        return new ServingTarget(
                member.node(), member.address(), member.failureDomain(), member.region(), suspected, target);
    }

    private static List<ObservedMember> inLeadOrder(final String failureDomain, final List<ObservedMember> present) {
        long domainHash = StableHash.of(failureDomain);
        List<Ranked> ranked = new ArrayList<>(present.size());
        for (ObservedMember standing : present) {
            String node = standing.member().node();
            long hash = StableHash.combine(domainHash, StableHash.of(node));
            ranked.add(new Ranked(unfitness(standing), hash, node, standing));
        }
        ranked.sort(LEAD_ORDER);
        return ranked.stream().map(Ranked::standing).toList();
    }

    private static int unfitness(final ObservedMember standing) {
        if (standing.presence() != ObservedMember.Presence.ALIVE) {
            return 2;
        }
        return switch (standing.member().state()) {
            case SERVING -> 0;
            case JOINING -> 1;
            default -> 2;
        };
    }

    /** Member with what decides its place in the order of leads. Immutable and thread-safe. */
    private record Ranked(int unfitness, long hash, String node, ObservedMember standing) {}
}
