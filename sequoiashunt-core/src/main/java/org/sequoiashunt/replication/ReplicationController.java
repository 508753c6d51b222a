package org.sequoiashunt.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Controller;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.EntryKey;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.configuration.ConfigurationHead;
import org.sequoiashunt.membership.MembershipView;
import org.sequoiashunt.membership.NodeIdentity;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.peer.PeerSender;
import org.sequoiashunt.time.Clock;

/**
 * Replicates the blackboard: offers each accepted change to random peers, which pull the entries that they lack, and
 * compares its entries with those of one random peer a second, so that lost messages are made up for.
 *
 * <p>A node's cost does not grow with its failure domain. The first member in the order of leads replicates with the
 * other failure domains.
 *
 * <p>{@link #tick()} and {@link #receive} are confined to one thread. Entries may be merged into the blackboard on any
 * thread. Invariant: a configuration head from a peer is merged into the blackboard only after all its parts.
 */
public final class ReplicationController implements Controller {

    private static final int OFFER_PEERS = 3;
    private static final int SERVICE_PEERS_SAME_REGION = 2;
    private static final int SERVICE_PEERS_OTHER_REGIONS = 1;
    private static final int SERVICE_OFFER_ROUNDS = 1;
    private static final long COMPARE_PERIOD_MS = 1_000;
    private static final EntryKey HEAD = EntryKey.of(Section.CONFIGURATION_HEAD, ConfigurationHead.NAME);

    private final NodeIdentity identity;
    private final Blackboard blackboard;
    private final Clock clock;
    private final PeerSender sender;
    private final Predicate<Entry> admissionFilter;
    private final PeerSelector peers;
    private final PendingOffers pendingOffers = new PendingOffers();
    private final PendingPulls pendingPulls = new PendingPulls();
    private final HeadHistory history = new HeadHistory();
    private final AntiEntropy antiEntropy;
    private final DeliverySender deliveries;
    private final HeadAssembler assembler;
    private final RegionRelay relay;
    private final ExpiredEntryRemover expiry;
    private long nextCompareMs;

    /**
     * Creates a controller that listens to the blackboard and also offers the entries already on it.
     *
     * @param identity the node, not null.
     * @param blackboard the node's blackboard, not null.
     * @param clock the clock, not null.
     * @param random the random source, not null.
     * @param sender sends to other nodes, not null.
     * @param views gives the present view of the members, not null.
     * @param admissionFilter tells whether an entry that a peer sent may be merged, not null.
     * @param contacts addresses to contact while no member has an entry, not null.
     */
    public ReplicationController(
            final NodeIdentity identity,
            final Blackboard blackboard,
            final Clock clock,
            final RandomGenerator random,
            final PeerSender sender,
            final Supplier<MembershipView> views,
            final Predicate<Entry> admission,
            final Contacts contacts) {
        this.identity = Objects.requireNonNull(identity, "identity");
        this.blackboard = Objects.requireNonNull(blackboard, "blackboard");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.sender = Objects.requireNonNull(sender, "sender");
        this.admissionFilter = Objects.requireNonNull(admission, "admission");
        this.peers = new PeerSelector(identity, views, contacts, random);
        this.antiEntropy = new AntiEntropy(identity, blackboard, sender, peers);
        this.deliveries = new DeliverySender(blackboard, history, sender, identity.address());
        this.assembler = new HeadAssembler(blackboard, sender, identity.address(), peers);
        this.relay = new RegionRelay(identity, sender, peers, antiEntropy, random);
        this.expiry = new ExpiredEntryRemover(blackboard);
        this.nextCompareMs = clock.nowMs();
        blackboard.addListener(history);
        blackboard.addListener(pendingOffers);
        for (Section section : Section.values()) {
            blackboard.entries(section).forEach(pendingOffers::entryAccepted);
        }
    }

    @Override
    public void tick() {
        long nowMs = clock.nowMs();
        pendingPulls.overdue(nowMs).forEach(this::sendPull);
        assemble(nowMs);
        offerDue(nowMs);
        relay.advance(nowMs);
        if (nowMs >= nextCompareMs) {
            compare(nowMs);
        }
        assembler.removeUnreferencedParts(nowMs);
    }

    @Override
    public boolean receive(final String senderName, final ControlMessage message) {
        if (message instanceof Offer offer) {
            pull(offer.stamps(), offer.replyTo());
        } else if (message instanceof Pull pull) {
            pull.keys().forEach(pendingOffers::recordPull);
            deliveries.answer(pull, clock.nowMs());
        } else if (message instanceof Deliver deliver) {
            accept(deliver.entries(), deliver.replyTo(), peers.origin(senderName));
        } else if (message instanceof HeadDelta delta) {
            accept(delta, peers.origin(senderName));
        } else if (message instanceof RangeDigests digests) {
            antiEntropy.answer(digests);
        } else if (message instanceof BucketDigests digests) {
            antiEntropy.answer(digests);
        } else if (message instanceof BucketStamps stamps) {
            deliverMissing(antiEntropy.missingAtSender(stamps), stamps.replyTo());
            pull(stamps.stamps(), stamps.replyTo());
        } else {
            return false;
        }
        return true;
    }

    /** Delivers the entries that a peer lacks, but only offers a head, which the peer then pulls as a difference. */
    private void deliverMissing(final List<Entry> lacked, final NodeAddress peer) {
        List<Entry> delivered = new ArrayList<>(lacked);
        delivered.removeIf(entry -> entry.key().equals(HEAD));
        deliveries.send(delivered, peer, clock.nowMs());
        if (delivered.size() < lacked.size()) {
            blackboard.find(HEAD).ifPresent(head -> offer(List.of(EntryStamp.of(head)), List.of(peer)));
        }
    }

    private void pull(final List<EntryStamp> stamps, final NodeAddress peer) {
        long nowMs = clock.nowMs();
        List<EntryKey> wanted = new ArrayList<>();
        for (EntryStamp stamp : stamps) {
            if (isMissing(stamp) && pendingPulls.begin(stamp, peer, nowMs)) {
                wanted.add(stamp.key());
            }
        }
        sendPull(peer, wanted);
    }

    private void sendPull(final NodeAddress peer, final List<EntryKey> wanted) {
        for (List<EntryKey> chunk : MessageSplitter.split(wanted)) {
            sender.send(peer, new Pull(chunk, headVersion(), identity.address()));
        }
    }

    private boolean isMissing(final EntryStamp stamp) {
        EntryKey key = stamp.key();
        if (key.section() == Section.CONFIGURATION_HEAD) {
            return assembler.isNewer(stamp);
        }
        if (!isReplicatedHere(key)) {
            return false;
        }
        Optional<Entry> present = blackboard.find(key);
        return present.isEmpty() || stamp.isNewerThan(present.get());
    }

    private boolean isReplicatedHere(final EntryKey key) {
        if (key.section() == Section.CONFIGURATION_PART) {
            return assembler.references(key.name());
        }
        return key.section().scope() != Section.Scope.SAME_SERVICE
                || peers.holds(RangeIndex.service(key.section(), key.name()));
    }

    private void accept(final List<Entry> entries, final NodeAddress source, final Origin origin) {
        for (Entry entry : entries) {
            pendingPulls.end(EntryStamp.of(entry));
            if (entry.key().section() == Section.CONFIGURATION_HEAD) {
                assembler.offer(entry, source, origin);
            } else if (isAdmitted(entry) && blackboard.merge(entry)) {
                pendingOffers.setOrigin(EntryStamp.of(entry), origin);
            }
        }
        assemble(clock.nowMs());
    }

    private boolean isAdmitted(final Entry entry) {
        return isReplicatedHere(entry.key()) && !expiry.isExpired(entry, clock.nowMs()) && admissionFilter.test(entry);
    }

    private void accept(final HeadDelta delta, final Origin origin) {
        Optional<Entry> head = history.apply(delta);
        if (head.isPresent()) {
            pendingPulls.end(EntryStamp.of(head.get()));
            assembler.offer(head.get(), delta.replyTo(), origin);
            assemble(clock.nowMs());
        } else {
            sender.send(delta.replyTo(), new Pull(List.of(HEAD), 0, identity.address()));
        }
    }

    private void assemble(final long nowMs) {
        assembler
                .advance(nowMs)
                .ifPresent(merged -> pendingOffers.setOrigin(EntryStamp.of(merged.head()), merged.origin()));
    }

    private long headVersion() {
        return blackboard.find(HEAD).map(head -> head.version().major()).orElse(0L);
    }

    private void offerDue(final long nowMs) {
        List<EntryStamp> common = new ArrayList<>();
        Map<String, List<EntryStamp>> byService = new TreeMap<>();
        for (PendingOffers.DueOffer due : pendingOffers.due(nowMs)) {
            EntryKey key = due.stamp().key();
            if (due.round() == 0) {
                relay.enqueue(due.stamp(), due.origin(), nowMs);
            }
            if (key.section().scope() != Section.Scope.SAME_SERVICE) {
                common.add(due.stamp());
            } else if (due.round() < SERVICE_OFFER_ROUNDS) {
                String service = RangeIndex.service(key.section(), key.name());
                byService.computeIfAbsent(service, name -> new ArrayList<>()).add(due.stamp());
            }
        }
        offer(common, peers.inDomain(OFFER_PEERS));
        byService.forEach((service, stamps) ->
                offer(stamps, peers.ofService(service, SERVICE_PEERS_SAME_REGION, SERVICE_PEERS_OTHER_REGIONS)));
    }

    private void offer(final List<EntryStamp> stamps, final List<NodeAddress> receivers) {
        for (List<EntryStamp> chunk : MessageSplitter.split(stamps)) {
            receivers.forEach(receiver -> sender.send(receiver, new Offer(chunk, identity.address())));
        }
    }

    private void compare(final long nowMs) {
        nextCompareMs = nowMs + COMPARE_PERIOD_MS;
        expiry.removeExpired(nowMs);
        peers.forAntiEntropy().ifPresent(peer -> antiEntropy.compareSections(peer, true));
        for (String service : heldServices()) {
            peers.ofService(service, 1, 0).forEach(peer -> antiEntropy.compareService(peer, Section.EVIDENCE, service));
        }
    }

    private List<String> heldServices() {
        return blackboard.entries(Section.EVIDENCE).stream()
                .map(entry -> RangeIndex.service(Section.EVIDENCE, entry.key().name()))
                .distinct()
                .filter(peers::holds)
                .toList();
    }
}
