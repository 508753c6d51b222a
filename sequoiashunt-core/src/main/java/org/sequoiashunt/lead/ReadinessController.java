package org.sequoiashunt.lead;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.random.RandomGenerator;
import org.sequoiashunt.blackboard.Controller;
import org.sequoiashunt.configuration.ConfigurationController;
import org.sequoiashunt.membership.JoinAnswer;
import org.sequoiashunt.membership.JoinRequest;
import org.sequoiashunt.membership.Member;
import org.sequoiashunt.membership.MembershipController;
import org.sequoiashunt.membership.NodeIdentity;
import org.sequoiashunt.membership.ObservedMember;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.peer.PeerSender;
import org.sequoiashunt.replication.Contacts;
import org.sequoiashunt.time.Clock;

/**
 * Decides when a node that starts may serve: only when it has in force the highest version that the store holds, or
 * that several nodes that serve have. One answer alone may come from a node that is behind.
 *
 * <p>The store's word reaches this node when it reads the head itself, or through a node that has just read it. Else
 * two ready nodes must have answered, or the only other one there is. While no node of its own failure domain is ready,
 * it asks one of another as well.
 *
 * <p>{@link #tick()} and {@link #receive} are confined to one thread; {@link #isReady()} is thread-safe.
 */
public final class ReadinessController implements Controller {

    private static final long REQUEST_PERIOD_MS = 500;
    private static final int REQUESTS = 3;
    private static final int ANSWERS_NEEDED = 2;
    private static final long STORE_READING_MS = 15_000;

    private final NodeIdentity identity;
    private final MembershipController membership;
    private final ConfigurationController configuration;
    private final ConfigurationWatcher watcher;
    private final Contacts contacts;
    private final Clock clock;
    private final RandomGenerator random;
    private final PeerSender sender;
    private final Map<String, JoinAnswer> answers = new HashMap<>();
    private volatile boolean ready;
    private long nextRequestMs;

    /**
     * Creates a controller of a node that is not ready.
     *
     * @param identity the node, not null.
     * @param membership the node's membership, not null; told to serve when the node is ready.
     * @param configuration knows the version in force, not null.
     * @param watcher knows what the store last answered, not null.
     * @param contacts addresses to turn to before any member is known, not null.
     * @param clock the clock, not null.
     * @param random the source of chance, not null.
     * @param sender sends to other nodes, not null.
     */
    public ReadinessController(
            final NodeIdentity identity,
            final MembershipController membership,
            final ConfigurationController configuration,
            final ConfigurationWatcher watcher,
            final Contacts contacts,
            final Clock clock,
            final RandomGenerator random,
            final PeerSender sender) {
        this.identity = Objects.requireNonNull(identity, "identity");
        this.membership = Objects.requireNonNull(membership, "membership");
        this.configuration = Objects.requireNonNull(configuration, "configuration");
        this.watcher = Objects.requireNonNull(watcher, "watcher");
        this.contacts = Objects.requireNonNull(contacts, "contacts");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.random = Objects.requireNonNull(random, "random");
        this.sender = Objects.requireNonNull(sender, "sender");
    }

    /**
     * Tells whether this node may serve.
     *
     * @return true once the node has passed its start; never false again after that.
     */
    public boolean isReady() {
        return ready;
    }

    @Override
    public void tick() {
        if (ready) {
            return;
        }
        if (mayServe()) {
            ready = true;
            answers.clear();
            membership.serve();
            return;
        }
        long nowMs = clock.nowMs();
        if (nowMs >= nextRequestMs) {
            nextRequestMs = nowMs + REQUEST_PERIOD_MS;
            candidates().forEach(peer -> sender.send(peer, new JoinRequest(identity.address())));
        }
    }

    @Override
    public boolean receive(final String senderName, final ControlMessage message) {
        if (message instanceof JoinRequest request) {
            sender.send(request.replyTo(), new JoinAnswer(ready, isStoreRead(), configuration.versionInForce()));
            return true;
        }
        if (message instanceof JoinAnswer answer) {
            if (!ready) {
                answers.put(senderName, answer);
            }
            return true;
        }
        return false;
    }

    private boolean mayServe() {
        long version = configuration.versionInForce();
        if (version == 0) {
            return false;
        }
        long highest = answers.values().stream()
                .mapToLong(JoinAnswer::configurationVersion)
                .max()
                .orElse(0);
        return version >= Math.max(highest, watcher.reading().version()) && isConfirmed();
    }

    private boolean isConfirmed() {
        if (isStoreRead()) {
            return true;
        }
        long readyAnswers = answers.values().stream().filter(JoinAnswer::ready).count();
        boolean storeRead = answers.values().stream().anyMatch(answer -> answer.ready() && answer.storeRead());
        int others =
                membership.view().presentInLeadOrder(identity.failureDomain()).size() - 1;
        return storeRead || readyAnswers >= Math.min(ANSWERS_NEEDED, Math.max(1, others));
    }

    private boolean isStoreRead() {
        ConfigurationWatcher.Reading reading = watcher.reading();
        boolean recent = reading.atMs() != Long.MIN_VALUE && clock.nowMs() - reading.atMs() <= STORE_READING_MS;
        return recent && reading.refusal().isEmpty();
    }

    private List<NodeAddress> candidates() {
        List<NodeAddress> known = addresses(membership.view().presentInLeadOrder(identity.failureDomain()));
        if (known.isEmpty()) {
            known.addAll(contacts.of(identity.failureDomain()));
            known.remove(identity.address());
        }
        List<NodeAddress> picked = pick(known, REQUESTS);
        if (answers.values().stream().noneMatch(JoinAnswer::ready)) {
            picked.addAll(pick(addresses(distant()), 1));
        }
        return picked;
    }

    private List<Member> distant() {
        return membership.view().members().stream()
                .filter(standing -> standing.presence().isPresent())
                .map(ObservedMember::member)
                .filter(member -> !member.failureDomain().equals(identity.failureDomain()))
                .toList();
    }

    private List<NodeAddress> addresses(final List<Member> members) {
        List<NodeAddress> addresses = new ArrayList<>();
        for (Member member : members) {
            if (!member.node().equals(identity.node())) {
                addresses.add(member.address());
            }
        }
        return addresses;
    }

    private List<NodeAddress> pick(final List<NodeAddress> known, final int count) {
        List<NodeAddress> picked = new ArrayList<>();
        while (picked.size() < count && !known.isEmpty()) {
            picked.add(known.remove(random.nextInt(known.size())));
        }
        return picked;
    }
}
