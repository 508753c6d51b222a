package org.sequoiashunt.lead;

import java.util.List;
import java.util.Objects;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.sequoiashunt.blackboard.BlockingTask;
import org.sequoiashunt.membership.Member;
import org.sequoiashunt.membership.MembershipView;
import org.sequoiashunt.membership.NodeIdentity;
import org.sequoiashunt.store.Store;
import org.sequoiashunt.store.StoreException;
import org.sequoiashunt.store.StoreKeys;
import org.sequoiashunt.store.StoredLease;
import org.sequoiashunt.time.Clock;

/**
 * The lease of a failure domain's lead. Only the first few members in the order of leads ask for it, so that the calls
 * to the store do not grow with the failure domain. A node that knows no other member asks only after it has read from
 * the store, and the later the more members there were, so that one of a herd is first and the others find it.
 *
 * <p>The time held counts from before the request was sent, less a margin for clock drift: the store's own count starts
 * later, so this node stops before another one can start, unless it is paused while it acts. Nothing that a lead does
 * may therefore depend on there being one.
 *
 * <p>{@link #step()} is confined to one thread; {@link #isHeld()} is thread-safe.
 */
public final class LeadLease implements BlockingTask {

    private static final long DURATION_MS = 5_000;
    private static final long DRIFT_MARGIN_MS = 500;
    private static final long RENEWAL_MS = DURATION_MS / 3;
    private static final int CANDIDATES = 3;
    private static final long IDLE_MS = 500;
    private static final long RETRY_MS = 1_000;
    private static final long CANDIDATE_PERIOD_MS = 10_000;
    // Sixteen failure domains of 262 members that start at once ask 210 times a second.
    private static final long ALONE_MS_PER_MEMBER = 76;
    private static final long ALONE_BASE_MS = 1_000;

    private final NodeIdentity identity;
    private final Store store;
    private final Clock clock;
    private final Supplier<MembershipView> views;
    private final Supplier<BootstrapController.Reading> bootstrap;
    private final RandomGenerator random;
    private volatile long heldUntilMs = Long.MIN_VALUE;
    private volatile String lastHolder = "";
    private long nextTryMs;
    private LeadRank place = new LeadRank(CANDIDATES, true);

    /**
     * Creates a lease that is not held.
     *
     * @param identity the node, not null.
     * @param store the platform's store, not null.
     * @param clock the clock, not null.
     * @param views gives the present view of the members, not null.
     * @param bootstrap gives what the store knows of the failure domain, not null.
     * @param random the source of chance, not null; used by this object's thread alone.
     */
    public LeadLease(
            final NodeIdentity identity,
            final Store store,
            final Clock clock,
            final Supplier<MembershipView> views,
            final Supplier<BootstrapController.Reading> bootstrap,
            final RandomGenerator random) {
        this.identity = Objects.requireNonNull(identity, "identity");
        this.store = Objects.requireNonNull(store, "store");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.views = Objects.requireNonNull(views, "views");
        this.bootstrap = Objects.requireNonNull(bootstrap, "bootstrap");
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Tells whether this node may act as the lead now.
     *
     * @return true if the lease is held on this node's own clock.
     */
    public boolean isHeld() {
        return clock.nowMs() < heldUntilMs;
    }

    /**
     * Tells whether the last holder that the store named is a member that this node knows. If not, this node and the
     * holder belong to groups that have not found each other.
     *
     * @return true if the holder is present in this node's view, or if the store has named none.
     */
    public boolean isHolderKnown() {
        String holder = lastHolder;
        return holder.isEmpty()
                || views.get()
                        .find(holder)
                        .filter(found -> found.presence().isPresent())
                        .isPresent();
    }

    @Override
    public long step() {
        long nowMs = clock.nowMs();
        LeadRank present = new LeadRank(rank(), isAlone());
        if (!isHeld() && !mayAsk(present)) {
            place = new LeadRank(CANDIDATES, true);
            return IDLE_MS;
        }
        if (!isHeld() && !present.equals(place)) {
            nextTryMs = nowMs + firstPauseMs(present);
        }
        place = present;
        if (nowMs >= nextTryMs) {
            nextTryMs = clock.nowMs() + ask(present);
        }
        return Math.min(IDLE_MS, Math.max(1, nextTryMs - clock.nowMs()));
    }

    /** Gives the lease back, so that another node need not wait for its end. */
    public void release() {
        boolean held = isHeld();
        heldUntilMs = Long.MIN_VALUE;
        if (!held) {
            return;
        }
        try {
            store.releaseLease(StoreKeys.leadLease(identity.failureDomain()), identity.node());
        } catch (StoreException exception) {
            // The lease ends by itself.
            nextTryMs = clock.nowMs();
        }
    }

    private long ask(final LeadRank present) {
        long sentMs = clock.nowMs();
        try {
            String name = StoreKeys.leadLease(identity.failureDomain());
            StoredLease lease = store.acquireLease(name, identity.node(), DURATION_MS);
            lastHolder = lease.holder();
            if (lease.holder().equals(identity.node())) {
                heldUntilMs = sentMs + DURATION_MS - DRIFT_MARGIN_MS;
                return RENEWAL_MS;
            }
            heldUntilMs = Long.MIN_VALUE;
            return pauseAfterRefusal(present.rank(), lease);
        } catch (StoreException exception) {
            return failurePauseMs(present);
        }
    }

    private long pauseAfterRefusal(final int rank, final StoredLease lease) {
        long endMs = Math.max(1, lease.remainingMs());
        return rank == 0 ? endMs + random.nextLong(IDLE_MS) : CANDIDATE_PERIOD_MS * rank;
    }

    private boolean mayAsk(final LeadRank present) {
        return present.alone() ? bootstrap.get().answered() : present.rank() < CANDIDATES;
    }

    private long firstPauseMs(final LeadRank present) {
        return present.alone() ? alonePauseMs() : CANDIDATE_PERIOD_MS * present.rank();
    }

    private long alonePauseMs() {
        return random.nextLong(
                ALONE_BASE_MS + ALONE_MS_PER_MEMBER * bootstrap.get().members());
    }

    /** Few nodes ask for each lease, so they may ask often: a commit waits for the lead after an outage. */
    private long failurePauseMs(final LeadRank present) {
        if (present.alone()) {
            return 1 + alonePauseMs();
        }
        return 1 + random.nextLong(RETRY_MS * (1 + present.rank()));
    }

    private boolean isAlone() {
        return views.get().presentInLeadOrder(identity.failureDomain()).size() < 2;
    }

    private int rank() {
        List<Member> ranked = views.get().presentInLeadOrder(identity.failureDomain());
        for (int index = 0; index < Math.min(CANDIDATES, ranked.size()); index++) {
            if (ranked.get(index).node().equals(identity.node())) {
                return index;
            }
        }
        return CANDIDATES;
    }

    /** This node's place in the order of leads. Immutable and thread-safe. */
    private record LeadRank(int rank, boolean alone) {}
}
