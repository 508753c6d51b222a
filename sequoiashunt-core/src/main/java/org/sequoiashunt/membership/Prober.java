package org.sequoiashunt.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.peer.PeerSender;

/**
 * Probes the members of a failure domain in turn, one per period, in a random order. A member that does not answer is
 * probed again, directly and through others, until the period ends; then it is reported as unreachable.
 *
 * <p>Confined to one thread.
 */
final class Prober {

    private static final int INDIRECT_PROBES = 3;
    private static final int ISOLATION_FAILURES = 3;

    private final NodeIdentity identity;
    private final PeerSender sender;
    private final RandomGenerator random;
    private final MembershipSettings settings;
    private final List<String> queue = new ArrayList<>();
    private final Set<String> queued = new HashSet<>();
    private final Map<Long, RelayedProbe> relayed = new HashMap<>();
    private PendingProbe pending;
    private long nextNumber;
    private long nextPeriodMs;
    private int consecutiveFailures;

    Prober(
            final NodeIdentity identity,
            final PeerSender sender,
            final RandomGenerator random,
            final MembershipSettings settings) {
        this.identity = identity;
        this.sender = sender;
        this.random = random;
        this.settings = settings;
        this.nextNumber = random.nextInt();
    }

    /**
     * Continues the present probe or starts the next one. Returns the member whose probe has just failed.
     */
    Optional<String> advance(final MembershipView view, final long nowMs) {
        if (nowMs >= nextPeriodMs) {
            Optional<String> failed = endPeriod();
            nextPeriodMs = nowMs + settings.probePeriodMs();
            relayed.values().removeIf(relay -> relay.expiresMs() <= nowMs);
            start(view, nowMs);
            return failed;
        }
        if (pending != null && nowMs - pending.triedMs >= settings.probeTimeoutMs()) {
            retryDirectlyAndIndirectly(view, nowMs);
        }
        return Optional.empty();
    }

    /** Drops the pending probe without reporting its member. */
    void reset(final long nowMs) {
        pending = null;
        consecutiveFailures = 0;
        nextPeriodMs = nowMs;
    }

    /** Tells whether so many probes failed in sequence that this node is more likely at fault than the members. */
    boolean isIsolated() {
        return consecutiveFailures >= ISOLATION_FAILURES;
    }

    void answer(final Probe probe) {
        sender.send(probe.replyTo(), new ProbeAnswer(probe.number(), identity.node()));
    }

    void relay(final IndirectProbe probe, final long nowMs) {
        long number = nextNumber++;
        long expiresMs = nowMs + settings.probePeriodMs();
        relayed.put(number, new RelayedProbe(probe.replyTo(), probe.number(), probe.member(), expiresMs));
        sender.send(probe.address(), new Probe(number, identity.address()));
    }

    void accept(final ProbeAnswer answer) {
        if (pending != null
                && pending.number == answer.number()
                && pending.member.node().equals(answer.member())) {
            pending = null;
            consecutiveFailures = 0;
        }
        RelayedProbe relay = relayed.get(answer.number());
        if (relay != null && relay.member().equals(answer.member())) {
            relayed.remove(answer.number());
            sender.send(relay.origin(), new ProbeAnswer(relay.originNumber(), answer.member()));
        }
    }

    private Optional<String> endPeriod() {
        if (pending == null) {
            return Optional.empty();
        }
        String member = pending.member.node();
        pending = null;
        consecutiveFailures++;
        return Optional.of(member);
    }

    private void start(final MembershipView view, final long nowMs) {
        Optional<Member> next = next(view);
        if (next.isPresent()) {
            pending = new PendingProbe(nextNumber++, next.get(), nowMs);
            sender.send(next.get().address(), new Probe(pending.number, identity.address()));
        }
    }

    private Optional<Member> next(final MembershipView view) {
        List<Member> others = others(view);
        if (queue.isEmpty()) {
            queued.clear();
        }
        others.forEach(member -> insert(member.node()));
        while (!queue.isEmpty()) {
            String name = queue.remove(queue.size() - 1);
            Optional<ObservedMember> observed = view.find(name);
            if (observed.isPresent() && observed.get().presence().isPresent()) {
                return Optional.of(observed.get().member());
            }
            queued.remove(name);
        }
        return Optional.empty();
    }

    /** Inserts a member that is not yet in this round at a random place, so that it need not wait for the next. */
    private void insert(final String name) {
        if (queued.add(name)) {
            queue.add(random.nextInt(queue.size() + 1), name);
        }
    }

    private void retryDirectlyAndIndirectly(final MembershipView view, final long nowMs) {
        pending.triedMs = nowMs;
        sender.send(pending.member.address(), new Probe(pending.number, identity.address()));
        List<Member> helpers = new ArrayList<>(others(view));
        helpers.removeIf(member -> member.node().equals(pending.member.node()));
        Collections.shuffle(helpers, new Random(random.nextLong()));
        for (Member helper : helpers.subList(0, Math.min(INDIRECT_PROBES, helpers.size()))) {
            Member member = pending.member;
            sender.send(
                    helper.address(),
                    new IndirectProbe(pending.number, member.node(), member.address(), identity.address()));
        }
    }

    private List<Member> others(final MembershipView view) {
        return view.presentInLeadOrder(identity.failureDomain()).stream()
                .filter(member -> !member.node().equals(identity.node()))
                .toList();
    }

    /** Probe that waits for its answer. Confined to the thread of its prober. */
    private static final class PendingProbe {

        private final long number;
        private final Member member;
        private long triedMs;

        private PendingProbe(final long number, final Member member, final long triedMs) {
            this.number = number;
            this.member = member;
            this.triedMs = triedMs;
        }
    }

    /** Probe made for another member. Immutable and thread-safe. */
    private record RelayedProbe(NodeAddress origin, long originNumber, String member, long expiresMs) {}
}
