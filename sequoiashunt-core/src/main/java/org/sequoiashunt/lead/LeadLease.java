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
 * Acquires and renews the lease that makes a node the lead of its failure domain. Only the first few members in the
 * ranking of leads request it, so that the number of store calls does not grow with the failure domain. A node that
 * sees no other member requests it only after the store has answered a read, and after a random delay that grows with
 * the last recorded number of members: when many nodes start at once, one becomes the lead and the others find it.
 *
 * <p>The lease is treated as held from the moment the request was sent, less a margin for clock drift. The store counts
 * from a later moment, so this node stops before another can start, unless it is paused in the middle of an action.
 * The work of a lead must therefore stay correct when two nodes do it at the same time.
 *
 * <p>{@link #step()} is confined to one thread; {@link #isHeld()} is thread-safe.
 */
public final class LeadLease implements BlockingTask {

    private static final long DURATION_MS = 5_000;
    private static final long CLOCK_DRIFT_MARGIN_MS = 500;
    private static final long RENEWAL_PERIOD_MS = DURATION_MS / 3;
    private static final int CANDIDATE_COUNT = 3;
    private static final long IDLE_PAUSE_MS = 500;
    private static final long RETRY_PAUSE_MS_PER_RANK = 1_000;
    private static final long CANDIDATE_PERIOD_MS = 10_000;
    // With these values, sixteen failure domains of 262 members that start at once send 210 requests a second.
    private static final long ISOLATED_PAUSE_MS_PER_MEMBER = 76;
    private static final long ISOLATED_BASE_PAUSE_MS = 1_000;

    private final NodeIdentity identity;
    private final Store store;
    private final Clock clock;
    private final Supplier<MembershipView> membershipView;
    private final Supplier<BootstrapController.ReadResult> bootstrapResult;
    private final RandomGenerator random;
    private volatile long heldUntilMs = Long.MIN_VALUE;
    private volatile String lastHolder = "";
    private long nextRequestMs;
    private LeadRank lastRank = new LeadRank(CANDIDATE_COUNT, true);

    /**
     * Creates a lease that is not held.
     *
     * @param identity the node, not null.
     * @param store the platform's store, not null.
     * @param clock the clock, not null.
     * @param membershipView returns the current view of the members, not null.
     * @param bootstrapResult returns the latest result of reading the failure domain's summary, not null.
     * @param random the random number generator, not null; used only by the thread that calls {@link #step()}.
     */
    public LeadLease(
            final NodeIdentity identity,
            final Store store,
            final Clock clock,
            final Supplier<MembershipView> membershipView,
            final Supplier<BootstrapController.ReadResult> bootstrapResult,
            final RandomGenerator random) {
        this.identity = Objects.requireNonNull(identity, "identity");
        this.store = Objects.requireNonNull(store, "store");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.membershipView = Objects.requireNonNull(membershipView, "membershipView");
        this.bootstrapResult = Objects.requireNonNull(bootstrapResult, "bootstrapResult");
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Tells whether this node may act as the lead now.
     *
     * @return true if the lease is held by this node's clock.
     */
    public boolean isHeld() {
        return clock.nowMs() < heldUntilMs;
    }

    /**
     * Tells whether this node sees the lease holder that the store last named. If not, this node and the holder belong
     * to groups of members that have not discovered each other.
     *
     * @return true if the holder is present in this node's view, or if the store has not named a holder yet.
     */
    public boolean isHolderKnown() {
        String holder = lastHolder;
        return holder.isEmpty()
                || membershipView
                        .get()
                        .find(holder)
                        .filter(member -> member.presence().isPresent())
                        .isPresent();
    }

    @Override
    public long step() {
        long nowMs = clock.nowMs();
        LeadRank currentRank = new LeadRank(rank(), isIsolated());
        if (!isHeld() && !mayRequest(currentRank)) {
            lastRank = new LeadRank(CANDIDATE_COUNT, true);
            return IDLE_PAUSE_MS;
        }
        if (!isHeld() && !currentRank.equals(lastRank)) {
            nextRequestMs = nowMs + firstPauseMs(currentRank);
        }
        lastRank = currentRank;
        if (nowMs >= nextRequestMs) {
            nextRequestMs = clock.nowMs() + requestLease(currentRank);
        }
        return Math.min(IDLE_PAUSE_MS, Math.max(1, nextRequestMs - clock.nowMs()));
    }

    /** Releases the lease, so that another node need not wait until it expires. */
    public void release() {
        boolean held = isHeld();
        heldUntilMs = Long.MIN_VALUE;
        if (!held) {
            return;
        }
        try {
            store.releaseLease(StoreKeys.leadLease(identity.failureDomain()), identity.node());
        } catch (StoreException exception) {
            // The lease expires without a release.
            nextRequestMs = clock.nowMs();
        }
    }

    private long requestLease(final LeadRank currentRank) {
        long sentMs = clock.nowMs();
        try {
            String name = StoreKeys.leadLease(identity.failureDomain());
            StoredLease lease = store.acquireLease(name, identity.node(), DURATION_MS);
            lastHolder = lease.holder();
            if (lease.holder().equals(identity.node())) {
                heldUntilMs = sentMs + DURATION_MS - CLOCK_DRIFT_MARGIN_MS;
                return RENEWAL_PERIOD_MS;
            }
            heldUntilMs = Long.MIN_VALUE;
            return pauseAfterRefusal(currentRank.rank(), lease);
        } catch (StoreException exception) {
            return retryPauseMs(currentRank);
        }
    }

    private long pauseAfterRefusal(final int rank, final StoredLease lease) {
        long remainingMs = Math.max(1, lease.remainingMs());
        return rank == 0 ? remainingMs + random.nextLong(IDLE_PAUSE_MS) : CANDIDATE_PERIOD_MS * rank;
    }

    private boolean mayRequest(final LeadRank currentRank) {
        return currentRank.isolated() ? bootstrapResult.get().answered() : currentRank.rank() < CANDIDATE_COUNT;
    }

    private long firstPauseMs(final LeadRank currentRank) {
        return currentRank.isolated() ? isolatedPauseMs() : CANDIDATE_PERIOD_MS * currentRank.rank();
    }

    private long isolatedPauseMs() {
        return random.nextLong(ISOLATED_BASE_PAUSE_MS
                + ISOLATED_PAUSE_MS_PER_MEMBER * bootstrapResult.get().memberCount());
    }

    /** Retries are frequent: few nodes request each lease, and after an outage a commit waits for the lead. */
    private long retryPauseMs(final LeadRank currentRank) {
        if (currentRank.isolated()) {
            return 1 + isolatedPauseMs();
        }
        return 1 + random.nextLong(RETRY_PAUSE_MS_PER_RANK * (1 + currentRank.rank()));
    }

    private boolean isIsolated() {
        return membershipView.get().presentInLeadOrder(identity.failureDomain()).size() < 2;
    }

    private int rank() {
        List<Member> ranked = membershipView.get().presentInLeadOrder(identity.failureDomain());
        for (int index = 0; index < Math.min(CANDIDATE_COUNT, ranked.size()); index++) {
            if (ranked.get(index).node().equals(identity.node())) {
                return index;
            }
        }
        return CANDIDATE_COUNT;
    }

    /** Rank of this node among the candidates, and whether it sees no other member. Immutable and thread-safe. */
    private record LeadRank(int rank, boolean isolated) {}
}
