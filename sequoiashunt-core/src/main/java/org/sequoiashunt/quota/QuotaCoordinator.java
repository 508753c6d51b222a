package org.sequoiashunt.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.sequoiashunt.organisation.RateLimit;
import org.sequoiashunt.time.Clock;

/**
 * Divides the limits of organisations among the nodes that report to this one.
 *
 * <p>The coordinator grants only the part of each limit that belongs to the nodes that report to it: their number
 * divided by the most nodes seen. So coordinators on both sides of a partition never grant more than the limit
 * together. The requests reported within the window and the permits that nodes hold stay below that part.
 *
 * <p>While an organisation has used little of its limit, permits that nodes hold count only in part, since few of them
 * are used within a window; so each node may hold one, also where there are more nodes than permits.
 *
 * <p>Not thread-safe.
 */
final class QuotaCoordinator {

    /** Least average gap between two reports at the coordinator: beyond 83 nodes, the period of reports grows. */
    private static final int PERIOD_PER_NODE_MS = 6;

    static final int REPORT_PERIOD_MS = 500;

    /** Silence after which a node's part of the limit is no longer granted here; it may report to another node then. */
    static final long PART_MS = 1_100;

    /** Silence after which a node can no longer use its permits; the margin covers clocks of different speed. */
    static final long LEASE_MS = QuotaLimiter.GRANT_MS + 200;

    /** Bound of the pools of organisations without a limit; beyond it, all sessions start again. */
    private static final int MAXIMUM_KEPT_POOLS = 1_000;

    private final Clock clock;
    private final QuotaBounds bounds;
    private final Map<String, Lease> leases = new HashMap<>();
    private final Map<Long, OrganisationPool> pools = new HashMap<>();
    private Set<Long> limited = Set.of();
    private int nodes = 1;
    private int reporting = 1;

    QuotaCoordinator(final Clock clock, final QuotaBounds bounds) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.bounds = Objects.requireNonNull(bounds, "bounds");
    }

    /**
     * Applies the limits of the configuration in force. Pools of organisations without a limit are kept: the counts of
     * a session go on if the limit returns, which nodes and this coordinator may see in different versions.
     */
    void configure(final Map<String, RateLimit> limits) {
        Map<Long, RateLimit> byId = new HashMap<>();
        limits.forEach((name, limit) -> byId.put(QuotaLimiter.identityOf(name), limit));
        if (pools.size() > byId.size() + MAXIMUM_KEPT_POOLS) {
            clear();
        }
        limited = byId.keySet();
        byId.forEach((id, limit) -> pools.computeIfAbsent(id, unused -> new OrganisationPool(bounds))
                .setLimit(limit));
    }

    /** Drops everything, since another node coordinates. */
    void clear() {
        leases.clear();
        pools.clear();
        limited = Set.of();
    }

    int leaseCount() {
        return leases.size();
    }

    /** Ends the leases of silent nodes: permits that they hold count as used until now. */
    void expire() {
        long nowMs = clock.nowMs();
        for (Iterator<Lease> all = leases.values().iterator(); all.hasNext(); ) {
            Lease lease = all.next();
            if (nowMs - lease.receivedMs > LEASE_MS) {
                end(lease, nowMs);
                all.remove();
            }
        }
    }

    private void end(final Lease lease, final long nowMs) {
        lease.shares.values().forEach(share -> share.pool.remove(share, nowMs));
    }

    /**
     * Handles a report.
     *
     * @param sender the name of the node, not null.
     * @param report the report, not null.
     * @param nodesSeen the most nodes that this node has seen lately, including itself.
     * @return the grant, empty if a later report of the session has been answered; never null.
     */
    Optional<QuotaGrant> answer(final String sender, final QuotaReport report, final int nodesSeen) {
        long nowMs = clock.nowMs();
        Lease lease = leases.get(sender);
        boolean newSession = lease == null || lease.session != report.session();
        if (newSession && report.grantSequence() > 0) {
            return Optional.of(
                    new QuotaGrant(report.session(), report.sequence(), 0, false, REPORT_PERIOD_MS, List.of()));
        }
        if (newSession) {
            lease = startSession(sender, lease, report, nowMs);
        }
        if (report.sequence() <= lease.reportSequence) {
            return Optional.empty();
        }
        long elapsedMs = Math.max(100, nowMs - lease.receivedMs);
        lease.reportSequence = report.sequence();
        lease.receivedMs = nowMs;
        lease.nodes = report.nodes();
        countNodes(nodesSeen, nowMs);
        confirm(lease, report.grantSequence());
        recordUsages(lease, report, elapsedMs, nowMs);
        if (report.leaving()) {
            end(lease, nowMs);
            leases.remove(sender);
            return Optional.empty();
        }
        lease.grantSequence++;
        return Optional.of(reply(lease, report, allowances(lease, nowMs)));
    }

    private QuotaGrant reply(final Lease lease, final QuotaReport report, final List<QuotaGrant.Allowance> allowances) {
        int periodMs = Math.max(REPORT_PERIOD_MS, nodes * PERIOD_PER_NODE_MS);
        return new QuotaGrant(report.session(), report.sequence(), lease.grantSequence, true, periodMs, allowances);
    }

    private Lease startSession(final String sender, final Lease previous, final QuotaReport report, final long nowMs) {
        if (previous != null) {
            end(previous, nowMs);
        }
        Lease lease = new Lease(report.session());
        lease.receivedMs = nowMs - REPORT_PERIOD_MS;
        leases.put(sender, lease);
        for (QuotaReport.Usage usage : report.usages()) {
            OrganisationPool pool = pools.get(usage.organisation());
            // What a node admitted while its previous session was known here has been counted already.
            if (pool != null && previous == null) {
                pool.recordEarlier(usage, nowMs);
            }
        }
        return lease;
    }

    private void countNodes(final int nodesSeen, final long nowMs) {
        nodes = nodesSeen;
        reporting = 0;
        for (Lease lease : leases.values()) {
            nodes = Math.max(nodes, lease.nodes);
            if (nowMs - lease.receivedMs <= PART_MS) {
                reporting++;
            }
        }
        nodes = Math.max(nodes, reporting);
    }

    private void confirm(final Lease lease, final long grantSequence) {
        if (grantSequence == lease.grantSequence) {
            lease.unconfirmed.forEach(share -> share.pool.confirm(share));
            lease.unconfirmed.clear();
        }
    }

    private void recordUsages(final Lease lease, final QuotaReport report, final long elapsedMs, final long nowMs) {
        lease.shares.values().forEach(share -> share.pool.decay(share, elapsedMs));
        for (QuotaReport.Usage usage : report.usages()) {
            OrganisationPool pool = pools.get(usage.organisation());
            if (pool != null) {
                pool.record(lease.share(usage.organisation(), pool), usage, elapsedMs, nowMs);
            }
        }
    }

    private List<QuotaGrant.Allowance> allowances(final Lease lease, final long nowMs) {
        List<QuotaGrant.Allowance> allowances = new ArrayList<>();
        double part = reporting / (double) nodes;
        limited.forEach(id -> {
            OrganisationPool pool = pools.get(id);
            OrganisationPool.Share share = lease.share(id, pool);
            QuotaGrant.Allowance allowance = pool.grant(id, share, part, nowMs);
            if (share.isUnconfirmed() || share.tells(allowance)) {
                share.told(allowance);
                allowances.add(allowance);
                lease.unconfirmed.add(share);
            }
        });
        return allowances;
    }

    /** Session of a node that reports. */
    private static final class Lease {

        private final long session;
        private final Map<Long, OrganisationPool.Share> shares = new HashMap<>();
        private final Set<OrganisationPool.Share> unconfirmed = new HashSet<>();
        private long reportSequence;
        private long grantSequence;
        private long receivedMs;
        private int nodes;

        private Lease(final long session) {
            this.session = session;
        }

        private OrganisationPool.Share share(final long id, final OrganisationPool pool) {
            OrganisationPool.Share share = shares.get(id);
            if (share == null || share.pool != pool) {
                share = new OrganisationPool.Share(pool);
                shares.put(id, share);
            }
            return share;
        }
    }
}
