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
 * Decides when a starting node may serve: when its configuration version in force is at least the highest version that
 * it learned from the store and from other nodes, and that version is confirmed. A single answer does not confirm it,
 * since it may come from a node that is behind.
 *
 * <p>A version is confirmed by a recent read of the store that found no refused version, by this node or by a ready
 * node that answered. Otherwise two ready nodes must have answered, or the only other node of the failure domain. While
 * no ready node has answered, this node also asks one node of another failure domain.
 *
 * <p>{@link #tick()} and {@link #receive} are confined to one thread; {@link #isReady()} is thread-safe.
 */
public final class ReadinessController implements Controller {

    private static final long REQUEST_PERIOD_MS = 500;
    private static final int REQUESTS_PER_PERIOD = 3;
    private static final int REQUIRED_READY_ANSWERS = 2;
    private static final long STORE_READ_VALIDITY_MS = 15_000;

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
     * @param membership the node's membership, not null; changed to serving when the node becomes ready.
     * @param configuration provides the version in force, not null.
     * @param watcher provides the result of the latest store read, not null.
     * @param contacts addresses to ask while no other member has been discovered, not null.
     * @param clock the clock, not null.
     * @param random the random number generator, not null.
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
     * @return true once the node has become ready; it then stays true.
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
            selectPeers().forEach(peer -> sender.send(peer, new JoinRequest(identity.address())));
        }
    }

    @Override
    public boolean receive(final String senderName, final ControlMessage message) {
        if (message instanceof JoinRequest request) {
            sender.send(request.replyTo(), new JoinAnswer(ready, hasRecentStoreRead(), configuration.versionInForce()));
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
        long highestAnswered = answers.values().stream()
                .mapToLong(JoinAnswer::configurationVersion)
                .max()
                .orElse(0);
        return version >= Math.max(highestAnswered, watcher.lastReadResult().version()) && isVersionConfirmed();
    }

    private boolean isVersionConfirmed() {
        if (hasRecentStoreRead()) {
            return true;
        }
        long readyAnswers = answers.values().stream().filter(JoinAnswer::ready).count();
        boolean confirmedByStoreRead =
                answers.values().stream().anyMatch(answer -> answer.ready() && answer.storeRead());
        int otherMembers =
                membership.view().presentInLeadOrder(identity.failureDomain()).size() - 1;
        return confirmedByStoreRead || readyAnswers >= Math.min(REQUIRED_READY_ANSWERS, Math.max(1, otherMembers));
    }

    private boolean hasRecentStoreRead() {
        ConfigurationWatcher.ReadResult result = watcher.lastReadResult();
        boolean recent = result.requestSentMs() != Long.MIN_VALUE
                && clock.nowMs() - result.requestSentMs() <= STORE_READ_VALIDITY_MS;
        return recent && result.refusal().isEmpty();
    }

    private List<NodeAddress> selectPeers() {
        List<NodeAddress> domainAddresses =
                addressesOfOthers(membership.view().presentInLeadOrder(identity.failureDomain()));
        if (domainAddresses.isEmpty()) {
            domainAddresses.addAll(contacts.of(identity.failureDomain()));
            domainAddresses.remove(identity.address());
        }
        List<NodeAddress> selected = removeRandom(domainAddresses, REQUESTS_PER_PERIOD);
        if (answers.values().stream().noneMatch(JoinAnswer::ready)) {
            selected.addAll(removeRandom(addressesOfOthers(membersOfOtherDomains()), 1));
        }
        return selected;
    }

    private List<Member> membersOfOtherDomains() {
        return membership.view().members().stream()
                .filter(observed -> observed.presence().isPresent())
                .map(ObservedMember::member)
                .filter(member -> !member.failureDomain().equals(identity.failureDomain()))
                .toList();
    }

    private List<NodeAddress> addressesOfOthers(final List<Member> members) {
        List<NodeAddress> addresses = new ArrayList<>();
        for (Member member : members) {
            if (!member.node().equals(identity.node())) {
                addresses.add(member.address());
            }
        }
        return addresses;
    }

    private List<NodeAddress> removeRandom(final List<NodeAddress> available, final int count) {
        List<NodeAddress> removed = new ArrayList<>();
        while (removed.size() < count && !available.isEmpty()) {
            removed.add(available.remove(random.nextInt(available.size())));
        }
        return removed;
    }
}
