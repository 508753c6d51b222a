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
 * Owns this node's member entry, probes the members of its failure domain and derives who is there.
 *
 * <p>A member that answers neither a probe nor three indirect ones is suspected; it refutes by a higher version of its
 * own entry, or counts as gone after the suspicion time. The lead of the failure domain states the departure to the
 * other failure domains, which do not probe it. A node that finds that it was frozen drops its judgements and renews
 * its own entry before it judges again.
 *
 * <p>{@link #tick()} and {@link #receive} are confined to one thread; all other methods are thread-safe.
 */
public final class MembershipController implements Controller {

    private static final int SMALL_DOMAIN_MEMBERS = 4;

    private final NodeIdentity identity;
    private final Blackboard blackboard;
    private final Clock clock;
    private final MembershipSettings settings;
    private final LocalMember own;
    private final Prober prober;
    private final SuspicionTimers timers;
    private final MembershipViewBuilder views;
    private final DepartureRecorder departures;
    private final AtomicReference<MembershipView> view = new AtomicReference<>(MembershipView.of(List.of()));
    private long lastTickMs;

    /**
     * Creates a controller and puts the node's own entry on the blackboard.
     *
     * @param identity the node, not null.
     * @param blackboard the node's blackboard, not null.
     * @param clock the clock, not null.
     * @param random the source of chance, not null.
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
        this.own = LocalMember.of(identity, blackboard, clock);
        this.prober = new Prober(identity, sender, random, settings);
        this.timers = new SuspicionTimers(blackboard, settings.suspicionMs());
        this.views = new MembershipViewBuilder(blackboard, timers);
        this.departures =
                new DepartureRecorder(identity, blackboard, settings, new PartitionDetector(identity, sender, random));
        this.lastTickMs = clock.nowMs();
        view.set(views.build());
    }

    /**
     * Returns who is there.
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
    public LocalMember own() {
        return own;
    }

    /** States that this node takes new work, unless it is draining or has left. */
    public void serve() {
        own.update(member -> member.state() == MemberState.JOINING ? member.withState(MemberState.SERVING) : member);
    }

    /** States that this node takes no new work. */
    public void drain() {
        own.update(member -> member.state() == MemberState.LEFT ? member : member.withState(MemberState.DRAINING));
    }

    /** States that this node has left. Keep ticking until the statement has been offered to peers. */
    public void leave() {
        own.update(member -> member.withState(MemberState.LEFT));
    }

    /**
     * States which targets this node has.
     *
     * @param targets the targets with the state of each, not null.
     */
    public void announce(final List<ServedTarget> targets) {
        own.update(member -> member.withTargets(targets));
    }

    /**
     * Tells whether an entry that a peer sent may be merged. False for members that departed and were forgotten.
     *
     * @param entry the entry, not null.
     * @return true if the entry may be merged.
     */
    public boolean admits(final Entry entry) {
        return departures.admits(entry, clock.nowMs());
    }

    @Override
    public void tick() {
        long nowMs = clock.nowMs();
        if (nowMs - lastTickMs > settings.freezeLimitMs()) {
            recover(nowMs);
        }
        lastTickMs = nowMs;
        own.defend();
        refreshView(nowMs);
        prober.advance(view.get(), nowMs).ifPresent(this::suspect);
        departures.write(view.get(), nowMs);
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

    private void recover(final long nowMs) {
        prober.reset(nowMs);
        timers.restart(nowMs);
        own.renew();
    }

    private void refreshView(final long nowMs) {
        boolean expired = timers.refresh(nowMs);
        if (expired || views.isOutdated()) {
            view.set(views.build());
        }
    }

    private void suspect(final String member) {
        MembershipView present = view.get();
        int size = present.ranked(identity.failureDomain()).size();
        if (prober.isIsolated() && size > SMALL_DOMAIN_MEMBERS) {
            return;
        }
        Optional<ObservedMember> standing = present.find(member);
        if (standing.isPresent() && standing.get().presence() == ObservedMember.Presence.ALIVE) {
            Suspicion suspicion = new Suspicion(member);
            blackboard.merge(Entry.of(member, identity.node(), standing.get().version(), suspicion));
        }
    }
}
