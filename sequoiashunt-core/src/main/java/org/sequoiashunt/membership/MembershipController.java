package org.sequoiashunt.membership;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Controller;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.PeerSender;
import org.sequoiashunt.time.Clock;

/**
 * Owns this node's member entry, probes the members of its failure domain and derives the view of present members.
 *
 * <p>A member that answers neither a probe nor three indirect ones is suspected; it refutes by a higher version of its
 * own entry, or counts as gone after the suspicion time. The lead of the failure domain states the departure to the
 * other failure domains, which do not probe it. A node that detects a pause of its own process drops its pending probe,
 * restarts its suspicion timers and raises the version of its entry before it suspects others again.
 *
 * <p>{@link #tick()} and {@link #receive} are confined to one thread; all other methods are thread-safe.
 */
public final class MembershipController implements Controller {

    private static final int SMALL_DOMAIN_MEMBERS = 4;

    private final NodeIdentity identity;
    private final Blackboard blackboard;
    private final Clock clock;
    private final MembershipSettings settings;
    private final LocalMember localMember;
    private final Prober prober;
    private final SuspicionTimers timers;
    private final MembershipViewBuilder viewBuilder;
    private final DepartureRecorder departures;
    private final AtomicReference<MembershipView> view = new AtomicReference<>(MembershipView.of(List.of()));
    private long lastTickMs;

    /**
     * Creates a controller and puts the node's own entry on the blackboard.
     *
     * @param identity the node, not null.
     * @param blackboard the node's blackboard, not null.
     * @param clock the clock, not null.
     * @param random the random source, not null.
     * @param sender sends to other nodes, not null.
     * @param settings the times, not null.
     */
    public MembershipController(
            final NodeIdentity identity,
            final Blackboard blackboard,
            final Clock clock,
            final RandomGenerator random,
            final PeerSender sender,
            final MembershipSettings settings) {
        this.identity = Objects.requireNonNull(identity, "identity");
        this.blackboard = Objects.requireNonNull(blackboard, "blackboard");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.settings = Objects.requireNonNull(settings, "settings");
        this.localMember = LocalMember.of(identity, blackboard, clock);
        this.prober = new Prober(identity, sender, random, settings);
        this.timers = new SuspicionTimers(blackboard, settings.suspicionMs());
        this.viewBuilder = new MembershipViewBuilder(blackboard, timers);
        this.departures =
                new DepartureRecorder(identity, blackboard, settings, new PartitionDetector(identity, sender, random));
        this.lastTickMs = clock.nowMs();
        view.set(viewBuilder.build());
    }

    /**
     * Returns the members and their presence.
     *
     * @return the latest view, never null.
     */
    public MembershipView view() {
        return view.get();
    }

    /**
     * Returns this node's own entry, through which its state, targets and configuration version change.
     *
     * @return the entry, never null.
     */
    public LocalMember localMember() {
        return localMember;
    }

    /** States that this node takes new work, unless it is draining or has left. */
    public void serve() {
        localMember.update(
                member -> member.state() == MemberState.JOINING ? member.withState(MemberState.SERVING) : member);
    }

    /** States that this node takes no new work. */
    public void drain() {
        localMember.update(
                member -> member.state() == MemberState.LEFT ? member : member.withState(MemberState.DRAINING));
    }

    /** States that this node has left. Keep ticking until the statement has been offered to peers. */
    public void leave() {
        localMember.update(member -> member.withState(MemberState.LEFT));
    }

    /**
     * States which targets this node has.
     *
     * @param targets the targets with the state of each, not null.
     */
    public void announce(final List<ServedTarget> targets) {
        localMember.update(member -> member.withTargets(targets));
    }

    /**
     * Tells whether an entry that a peer sent may be merged. False for expired departures and for departed versions of
     * removed members.
     *
     * @param entry the entry, not null.
     * @return true if the entry may be merged.
     */
    public boolean mayMerge(final Entry entry) {
        return departures.mayMerge(entry, clock.nowMs());
    }

    @Override
    public void tick() {
        long nowMs = clock.nowMs();
        if (nowMs - lastTickMs > settings.freezeLimitMs()) {
            recoverFromFreeze(nowMs);
        }
        lastTickMs = nowMs;
        localMember.supersedeOthersStatements();
        refreshView(nowMs);
        prober.advance(view.get(), nowMs).ifPresent(this::suspect);
        departures.writeDepartures(view.get(), nowMs);
        departures.forgetExpired(nowMs);
    }

    @Override
    public boolean receive(final String sender, final ControlMessage message) {
        if (message instanceof Probe probe) {
            prober.answer(probe);
        } else if (message instanceof IndirectProbe probe) {
            prober.relay(probe, clock.nowMs());
        } else if (message instanceof ProbeAnswer answer) {
            prober.accept(answer);
            departures.accept(answer);
        } else {
            return false;
        }
        return true;
    }

    private void recoverFromFreeze(final long nowMs) {
        prober.reset(nowMs);
        timers.restart(nowMs);
        localMember.raiseVersion();
    }

    private void refreshView(final long nowMs) {
        boolean expired = timers.refresh(nowMs);
        if (expired || viewBuilder.isOutdated()) {
            view.set(viewBuilder.build());
        }
    }

    private void suspect(final String member) {
        MembershipView present = view.get();
        int size = present.presentInLeadOrder(identity.failureDomain()).size();
        if (prober.isIsolated() && size > SMALL_DOMAIN_MEMBERS) {
            return;
        }
        Optional<ObservedMember> observed = present.find(member);
        if (observed.isPresent() && observed.get().presence() == ObservedMember.Presence.ALIVE) {
            Suspicion suspicion = new Suspicion(member);
            blackboard.merge(Entry.of(member, identity.node(), observed.get().version(), suspicion));
        }
    }
}
