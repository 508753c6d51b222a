package org.sequoiashunt.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.sequoiashunt.membership.Member;
import org.sequoiashunt.membership.MemberState;
import org.sequoiashunt.membership.MembershipView;
import org.sequoiashunt.membership.NodeIdentity;
import org.sequoiashunt.membership.ObservedMember;
import org.sequoiashunt.membership.StableHash;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Chooses the peers with which a node replicates.
 *
 * <p>Confined to one thread.
 */
final class PeerSelector {

    // Share of comparisons with members that count as gone, so that two sides of a healed partition find each other.
    private static final double FALLBACK_SHARE = 0.05;
    // A joining node may have seen only other joining nodes so far.
    private static final double JOINING_FALLBACK_SHARE = 0.5;

    private final NodeIdentity identity;
    private final Supplier<MembershipView> views;
    private final Contacts contacts;
    private final RandomGenerator random;

    PeerSelector(
            final NodeIdentity identity,
            final Supplier<MembershipView> views,
            final Contacts contacts,
            final RandomGenerator random) {
        this.identity = Objects.requireNonNull(identity, "identity");
        this.views = Objects.requireNonNull(views, "views");
        this.contacts = Objects.requireNonNull(contacts, "contacts");
        this.random = Objects.requireNonNull(random, "random");
    }

    /** Returns the number of present members of this node's failure domain, itself included. */
    int domainSize() {
        return views.get().presentInLeadOrder(identity.failureDomain()).size();
    }

    /** Picks some random present members of this node's failure domain, or contacts if it knows no member. */
    List<NodeAddress> inDomain(final int count) {
        List<NodeAddress> present = addresses(views.get().presentInLeadOrder(identity.failureDomain()));
        return pick(present.isEmpty() ? domainContacts() : present, count);
    }

    /** Picks the peer for anti-entropy: a present member, or at times one that counts as gone, or a contact. */
    Optional<NodeAddress> forAntiEntropy() {
        if (random.nextDouble() < (isJoining() ? JOINING_FALLBACK_SHARE : FALLBACK_SHARE)) {
            List<NodeAddress> fallbacks = goneInDomain();
            fallbacks.addAll(domainContacts());
            if (!fallbacks.isEmpty()) {
                return Optional.of(fallbacks.get(random.nextInt(fallbacks.size())));
            }
        }
        return inDomain(1).stream().findFirst();
    }

    /** Tells whether this node holds the range of a service. */
    boolean holds(final String service) {
        return views.get().membersWithTargetOf(service).stream().anyMatch(this::isSelf);
    }

    /** Picks random members that have a target of a service, those of this node's region first. */
    List<NodeAddress> ofService(final String service, final int near, final int far) {
        List<Member> nearby = new ArrayList<>();
        List<Member> distant = new ArrayList<>();
        for (Member member : views.get().membersWithTargetOf(service)) {
            (member.region().equals(identity.region()) ? nearby : distant).add(member);
        }
        List<NodeAddress> picked = new ArrayList<>(pick(addresses(nearby), near));
        picked.addAll(pick(addresses(distant), far));
        return picked;
    }

    /** Returns this node's place in the order of leads of its failure domain, zero for the lead. */
    int leadRank() {
        List<Member> ranked = views.get().presentInLeadOrder(identity.failureDomain());
        for (int index = 0; index < ranked.size(); index++) {
            if (isSelf(ranked.get(index))) {
                return index;
            }
        }
        return Integer.MAX_VALUE;
    }

    /** Lists the other failure domains that have members or contacts, with the region of each. */
    SortedMap<String, String> otherDomains() {
        SortedMap<String, String> domains = new TreeMap<>(contacts.regions());
        MembershipView view = views.get();
        view.failureDomains().forEach(domain -> view.regionOf(domain).ifPresent(region -> domains.put(domain, region)));
        domains.remove(identity.failureDomain());
        return domains;
    }

    /** Lists the other failure domains of a region by rendezvous hash, which spreads the relaying over them. */
    List<String> domainsInRelayOrder(final String region) {
        long ownHash = StableHash.of(identity.failureDomain());
        List<String> domains = new ArrayList<>();
        otherDomains().forEach((domain, domainRegion) -> {
            if (domainRegion.equals(region)) {
                domains.add(domain);
            }
        });
        domains.sort((first, second) -> Long.compare(
                StableHash.combine(ownHash, StableHash.of(first)), StableHash.combine(ownHash, StableHash.of(second))));
        return domains;
    }

    /** Returns the address of a failure domain's lead, or of a contact if no member is known. */
    Optional<NodeAddress> leadOf(final String failureDomain) {
        Optional<Member> lead = views.get().lead(failureDomain);
        if (lead.isPresent()) {
            return Optional.of(lead.get().address());
        }
        return pick(contacts.of(failureDomain), 1).stream().findFirst();
    }

    /** Classifies the sender of a message by its failure domain and region. */
    Origin origin(final String sender) {
        Optional<ObservedMember> observed = views.get().find(sender);
        if (observed.isEmpty() || observed.get().member().failureDomain().equals(identity.failureDomain())) {
            return Origin.OWN_DOMAIN;
        }
        boolean sameRegion = observed.get().member().region().equals(identity.region());
        return sameRegion ? Origin.OWN_REGION : Origin.REMOTE_REGION;
    }

    private boolean isJoining() {
        return views.get()
                .find(identity.node())
                .filter(own -> own.member().state() == MemberState.JOINING)
                .isPresent();
    }

    private List<NodeAddress> domainContacts() {
        List<NodeAddress> known = new ArrayList<>(contacts.of(identity.failureDomain()));
        known.remove(identity.address());
        return known;
    }

    private List<NodeAddress> goneInDomain() {
        List<NodeAddress> gone = new ArrayList<>();
        for (ObservedMember observed : views.get().members()) {
            Member member = observed.member();
            boolean candidate = !observed.presence().isPresent()
                    && member.state() != MemberState.LEFT
                    && member.failureDomain().equals(identity.failureDomain());
            if (candidate) {
                gone.add(member.address());
            }
        }
        return gone;
    }

    private List<NodeAddress> addresses(final List<Member> members) {
        List<NodeAddress> addresses = new ArrayList<>();
        for (Member member : members) {
            if (!isSelf(member)) {
                addresses.add(member.address());
            }
        }
        return addresses;
    }

    private List<NodeAddress> pick(final List<NodeAddress> candidates, final int count) {
        List<NodeAddress> remaining = new ArrayList<>(candidates);
        List<NodeAddress> picked = new ArrayList<>();
        while (picked.size() < count && !remaining.isEmpty()) {
            int index = random.nextInt(remaining.size());
            picked.add(remaining.get(index));
            remaining.set(index, remaining.get(remaining.size() - 1));
            remaining.remove(remaining.size() - 1);
        }
        return picked;
    }

    private boolean isSelf(final Member member) {
        return member.node().equals(identity.node());
    }
}
