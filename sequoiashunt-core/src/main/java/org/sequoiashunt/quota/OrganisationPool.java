package org.sequoiashunt.quota;

import java.util.Objects;
import org.sequoiashunt.organisation.RateLimit;

/**
 * Requests and permits of one organisation at the coordinator.
 *
 * <p>Not thread-safe. Invariant: {@link #held} and {@link #demand} are the sums over the shares of all leases.
 */
final class OrganisationPool {

    /**
     * Part of the granted limit above which an organisation counts as hot: its permits then count in full, and nodes
     * learn how much is used. Below it, nodes hold more permits than the limit has room for; the rest of the limit must
     * take those that are used while a coordinator is lost or nodes are cut off. At 0.8 windows exceed the bound then.
     */
    private static final double HOT_PART = 0.6;

    /**
     * Weight of a held permit of an organisation that is not hot. With 66 nodes and a limit of 30 requests in a
     * window, the smallest in use, each node can hold a permit.
     */
    private static final double IDLE_WEIGHT = 0.25;

    /** Requests for which a node gets permits, in milliseconds of its demand: two periods, and the round trip. */
    private static final double HORIZON_MS = 1_100;

    /** A node gets this multiple of its part of the free permits, since others that could ask for theirs do not. */
    private static final double SHARE_FACTOR = 3;

    /** For a sudden rise, a node holds up to this multiple of what it needs while much of the limit is unused. */
    private static final double SURGE_FACTOR = 4;

    /** Part of the earlier demand that remains in a smoothed value after one period. */
    private static final double REMAINING_DEMAND = 0.6;

    private static final int SPREAD_PARTS = 4;
    private static final double PERCENT = 100;
    private static final int MINIMUM_WAIT_MS = 250;
    private static final int WAIT_AT_LIMIT_MS = 300;

    private final QuotaBounds bounds;
    private final SlidingCount used;
    private RateLimit limit;
    private double held;
    private double demand;
    private double stated;
    private double earlier;
    private long assumedFromMs = Long.MIN_VALUE / 2;

    OrganisationPool(final QuotaBounds bounds) {
        this.bounds = bounds;
        this.used = new SlidingCount(bounds.windowMs());
    }

    void setLimit(final RateLimit inForce) {
        limit = Objects.requireNonNull(inForce, "inForce");
    }

    /** Counts what a node admitted before it reported here. */
    void recordEarlier(final QuotaReport.Usage usage, final long nowMs) {
        long partMs = bounds.windowMs() / QuotaReport.EARLIER_PARTS;
        for (int part = 0; part < usage.earlier().size(); part++) {
            used.add(nowMs, nowMs - part * partMs, usage.earlier().get(part));
            earlier += usage.earlier().get(part);
        }
        if (usage.fillPercent() > 0 && nowMs - assumedFromMs > bounds.windowMs()) {
            assumedFromMs = nowMs;
            stated = 0;
            earlier = usage.earlier().stream().mapToInt(Integer::intValue).sum();
        }
        stated = Math.max(stated, usage.fillPercent() / PERCENT * bounds.planned(limit));
    }

    void decay(final Share share, final long elapsedMs) {
        double remaining =
                share.demand * Math.pow(REMAINING_DEMAND, elapsedMs / (double) QuotaCoordinator.REPORT_PERIOD_MS);
        demand += remaining - share.demand;
        share.demand = remaining;
    }

    void record(final Share share, final QuotaReport.Usage usage, final long elapsedMs, final long nowMs) {
        long added = Math.max(0, usage.admitted() - share.admitted);
        // They were admitted since the previous report; what is taken for older than it is leaves the window too early.
        long partMs = Math.min(elapsedMs, QuotaLimiter.GRANT_MS) / 2 / SPREAD_PARTS;
        for (int part = 0; part < SPREAD_PARTS; part++) {
            used.add(nowMs, nowMs - part * partMs, added / (double) SPREAD_PARTS);
        }
        double heldBefore = share.held();
        share.admitted += added;
        held += share.held() - heldBefore;
        double perMs = (added + Math.max(0, usage.refused())) / (double) elapsedMs;
        if (perMs > share.demand) {
            demand += perMs - share.demand;
            share.demand = perMs;
        }
    }

    /** The node obeys the last ceiling that it was told, so earlier and higher ones no longer count. */
    void confirm(final Share share) {
        double heldBefore = share.held();
        share.bound = share.told;
        share.confirmed = share.told;
        held += share.held() - heldBefore;
    }

    /** The permits of a node that has fallen silent count as used now. */
    void remove(final Share share, final long nowMs) {
        used.add(nowMs, nowMs, share.held());
        held -= share.held();
        demand -= share.demand;
    }

    /** Determines the ceiling of a node. */
    QuotaGrant.Allowance grant(final long id, final Share share, final double part, final long nowMs) {
        double granted = bounds.planned(limit) * part;
        double inWindow = used.sum(nowMs) + assumed(nowMs);
        boolean hot = inWindow > HOT_PART * granted;
        double available = granted - inWindow - held;
        double horizon = share.demand * HORIZON_MS;
        double wanted = Math.ceil(horizon);
        if (!hot) {
            wanted = Math.max(
                    wanted + 1, Math.min(SURGE_FACTOR * horizon, Math.floor((granted - inWindow) * demandPart(share))));
        }
        if (hot && horizon < 0.5) {
            wanted = 0;
        }
        double holds = share.held();
        double target = wanted;
        if (wanted > holds) {
            double offered = hot
                    ? fairPart(share, available)
                    : Math.max(available, Math.min(1 - holds, granted - inWindow - held * IDLE_WEIGHT));
            target = holds + Math.max(0, Math.min(wanted - holds, Math.floor(offered)));
        }
        if (hot && available < 0) {
            target = Math.max(0, Math.min(target, holds) + Math.floor(available * demandPart(share)));
        }
        long ceiling = share.admitted + (long) target;
        double heldBefore = share.held();
        share.bound = Math.max(share.bound, ceiling);
        held += share.held() - heldBefore;
        int waitMs = hot && target < wanted ? waitMs(granted) : 0;
        int fillPercent = hot ? (int) Math.ceil(PERCENT * inWindow / bounds.planned(limit)) : 0;
        return new QuotaGrant.Allowance(id, ceiling, waitMs, fillPercent);
    }

    private double fairPart(final Share share, final double available) {
        return Math.max(Math.min(1, available), available * Math.min(1, SHARE_FACTOR * demandPart(share)));
    }

    private double demandPart(final Share share) {
        return demand > 0 ? Math.min(1, share.demand / demand) : 1;
    }

    /** Requests that an earlier coordinator counted for nodes that have not reported here. */
    private double assumed(final long nowMs) {
        double left = 1 - (nowMs - assumedFromMs) / (double) bounds.windowMs();
        return Math.max(0, left) * Math.max(0, stated - earlier);
    }

    /** The more requests compete for the room that becomes free, the longer one of them waits. */
    private int waitMs(final double granted) {
        double competitors = demand * bounds.windowMs() / Math.max(1, granted);
        return (int) Math.max(MINIMUM_WAIT_MS, Math.min(bounds.windowMs() / 2, WAIT_AT_LIMIT_MS * competitors));
    }

    /** Part of one node. Changed by its pool only, except for what the node was told. */
    static final class Share {

        final OrganisationPool pool;
        private long admitted;
        private long bound;
        private long told;
        private long confirmed;
        private int toldWaitMs;
        private boolean toldHot;
        private double demand;

        Share(final OrganisationPool pool) {
            this.pool = pool;
        }

        /** Returns the permits that the node may hold, whichever of the latest grants have reached it. */
        private double held() {
            return Math.max(0, bound - admitted);
        }

        boolean isUnconfirmed() {
            return told != confirmed;
        }

        boolean tells(final QuotaGrant.Allowance allowance) {
            return allowance.ceiling() != told
                    || allowance.fillPercent() > 0 != toldHot
                    || allowance.waitMs() > 0
                    || toldWaitMs > 0;
        }

        void told(final QuotaGrant.Allowance allowance) {
            told = allowance.ceiling();
            toldWaitMs = allowance.waitMs();
            toldHot = allowance.fillPercent() > 0;
        }
    }
}
