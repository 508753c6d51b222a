package org.sequoiashunt.quota;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.sequoiashunt.membership.StableHash;
import org.sequoiashunt.organisation.Organisation;
import org.sequoiashunt.organisation.RateLimit;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.time.Clock;

/**
 * Decides at a node whether a request of an organisation may run, by the grants of the coordinator.
 *
 * <p>With a valid grant, the node admits requests up to the granted ceiling. Without one, it admits its equal share of
 * the limit: the requests of a window divided by the most nodes seen lately.
 *
 * <p>Thread-safe: guarded by its own monitor. Invariants: a grant is obeyed for {@link #GRANT_MS} after the report that
 * it answers was sent; a node that has just started admits nothing without a grant, since it may not know the other
 * nodes yet.
 */
public final class QuotaLimiter {

    /** Validity of a grant: four regular periods. */
    static final long GRANT_MS = 2_000;

    /** Time after the start in which a node may not know the other nodes yet. */
    static final long DISCOVERY_MS = 3_000;

    /** Time after a report in which refusals of an organisation at its limit do not call for another one. */
    static final long FULL_REPORT_GAP_MS = 200;

    /** Expected wait while a report is on its way: a tick of the control loop and a round trip between regions. */
    static final long GRANT_DELAY_MS = 200;

    private final Clock clock;
    private final Optional<QuotaBounds> bounds;
    private final long startMs;
    private final Map<String, Account> accounts = new HashMap<>();
    private final Map<Long, Account> accountsById = new HashMap<>();
    private Set<String> limited = Set.of();
    private long session;
    private long reportSequence;
    private long reportSentMs;
    private long countedUntilMs;
    private long grantSequence;
    private long grantedUntilMs = Long.MIN_VALUE;
    private boolean confirmed;
    private boolean urgent;
    private long withoutGrantSinceMs;
    private int nodes = 1;

    /**
     * Creates a limiter.
     *
     * @param clock the clock, not null.
     * @param bounds the bounds in force, empty if no limit is in force; not null.
     * @param firstSession the number of the first session, which no earlier process of this node has used.
     */
    public QuotaLimiter(final Clock clock, final Optional<QuotaBounds> bounds, final long firstSession) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.bounds = Objects.requireNonNull(bounds, "bounds");
        this.session = firstSession;
        this.startMs = clock.nowMs();
        this.withoutGrantSinceMs = startMs;
    }

    static long identityOf(final String organisation) {
        return StableHash.of(organisation);
    }

    /**
     * Decides whether a request may run. Never blocks and sends no message.
     *
     * @param organisation the organisation of the request, not null.
     * @return the decision, never null; an admitted request is counted.
     */
    public QuotaDecision tryAcquire(final Organisation organisation) {
        if (bounds.isEmpty() || organisation.quota().isEmpty()) {
            return QuotaDecision.ADMITTED;
        }
        return tryAcquire(organisation.name(), organisation.quota().get(), bounds.get());
    }

    private synchronized QuotaDecision tryAcquire(final String name, final RateLimit limit, final QuotaBounds inForce) {
        long nowMs = clock.nowMs();
        Account account = account(name, inForce);
        boolean granted = nowMs < grantedUntilMs;
        boolean admitted = granted
                ? account.admitted < account.ceiling
                : account.recent.sum(nowMs) + 1 <= equalShare(account, limit, inForce, nowMs);
        if (admitted) {
            account.admitted++;
            account.recent.add(nowMs, nowMs, 1);
            return QuotaDecision.ADMITTED;
        }
        account.refused++;
        boolean full = granted && nowMs < account.fullUntilMs;
        urgent |= !full || nowMs - reportSentMs >= FULL_REPORT_GAP_MS;
        if (full) {
            return QuotaDecision.refused(account.fullUntilMs - nowMs);
        }
        return QuotaDecision.refused(GRANT_DELAY_MS);
    }

    /**
     * Returns the permit of an admitted request that has not run and never will. It is taken back only while no report
     * has counted it, so that no window holds more requests than without returns; otherwise it stays used.
     *
     * @param organisation the organisation of the request, not null.
     * @param beforeMs a time before the request was admitted, in milliseconds of the local clock.
     */
    public void giveBack(final Organisation organisation, final long beforeMs) {
        if (bounds.isPresent() && organisation.quota().isPresent()) {
            giveBack(organisation.name(), beforeMs);
        }
    }

    private synchronized void giveBack(final String name, final long beforeMs) {
        Account account = accounts.get(name);
        if (account == null || beforeMs <= countedUntilMs || account.admitted <= account.sentAdmitted) {
            return;
        }
        account.admitted--;
        account.recent.remove(clock.nowMs(), beforeMs);
        // Still part of the demand: its caller comes back.
        account.refused++;
    }

    /** Returns the requests that this node may admit within a window without a grant. */
    private double equalShare(
            final Account account, final RateLimit limit, final QuotaBounds inForce, final long nowMs) {
        if (nowMs - startMs < DISCOVERY_MS) {
            return 0;
        }
        double share = inForce.planned(limit) / nodes;
        if (account.fillPercent == 0) {
            return share;
        }
        // Other nodes may have used this share just before; it becomes free again as their requests leave the window.
        long withoutMs = nowMs - Math.max(withoutGrantSinceMs, grantedUntilMs);
        return share * Math.min(1, withoutMs / (double) inForce.windowMs());
    }

    private Account account(final String name, final QuotaBounds inForce) {
        return accounts.computeIfAbsent(name, unused -> {
            Account account = new Account(identityOf(name), inForce.windowMs());
            account.ceiling = 0;
            accountsById.put(account.id, account);
            return account;
        });
    }

    /**
     * Creates the accounts of organisations with limits, so that grants for them are kept. The others are dropped when
     * the session ends: the coordinator, which may not see a limit removed and restored, compares counts of a session.
     */
    synchronized void retain(final Map<String, RateLimit> limits) {
        bounds.ifPresent(inForce -> {
            limited = limits.keySet();
            limits.keySet().forEach(name -> account(name, inForce));
        });
    }

    /** Returns whether requests were refused that a grant may admit, and forgets it. */
    synchronized boolean takeUrgency() {
        boolean taken = urgent;
        urgent = false;
        return taken;
    }

    /** Starts a session with another coordinator: the grants of the previous one end. */
    synchronized void startSession() {
        long nowMs = clock.nowMs();
        session++;
        countedUntilMs = nowMs;
        reportSequence = 0;
        grantSequence = 0;
        confirmed = false;
        withoutGrantSinceMs = nowMs;
        grantedUntilMs = Math.min(grantedUntilMs, nowMs);
        accounts.keySet().retainAll(limited);
        accountsById.values().retainAll(accounts.values());
        for (Account account : accounts.values()) {
            account.earlier = account.recent.parts(nowMs, QuotaReport.EARLIER_PARTS);
            account.admitted = 0;
            account.sentAdmitted = 0;
            account.ceiling = 0;
            account.confirmedAdmitted = 0;
        }
    }

    synchronized QuotaReport createReport(final NodeAddress replyTo, final int nodesSeen, final boolean leaving) {
        nodes = Math.max(1, nodesSeen);
        reportSequence++;
        reportSentMs = clock.nowMs();
        countedUntilMs = reportSentMs;
        List<QuotaReport.Usage> usages = new ArrayList<>();
        for (Account account : accounts.values()) {
            boolean tellEarlier = !confirmed && (Arrays.stream(account.earlier).sum() > 0 || account.fillPercent > 0);
            if (account.admitted != account.confirmedAdmitted || account.refused > 0 || tellEarlier) {
                usages.add(new QuotaReport.Usage(
                        account.id,
                        account.admitted,
                        account.refused,
                        account.fillPercent,
                        tellEarlier ? Arrays.stream(account.earlier).boxed().toList() : List.of()));
            }
            account.refused = 0;
            account.sentAdmitted = account.admitted;
        }
        return new QuotaReport(replyTo, session, reportSequence, grantSequence, nodes, leaving, usages);
    }

    /** Returns whether a grant answers the latest report. */
    synchronized boolean isCurrent(final QuotaGrant grant) {
        return grant.session() == session && grant.reportSequence() == reportSequence;
    }

    /** Puts a grant in force; returns whether it answers the latest report of the session. */
    synchronized boolean accept(final QuotaGrant grant) {
        if (grant.session() != session || grant.sequence() <= grantSequence) {
            return false;
        }
        long nowMs = clock.nowMs();
        grantSequence = grant.sequence();
        confirmed = true;
        for (QuotaGrant.Allowance allowance : grant.allowances()) {
            Account account = accountsById.get(allowance.organisation());
            if (account != null) {
                account.ceiling = allowance.ceiling();
                account.fullUntilMs = allowance.waitMs() == 0 ? Long.MIN_VALUE : nowMs + allowance.waitMs();
                account.fillPercent = allowance.fillPercent();
            }
        }
        if (grant.reportSequence() != reportSequence) {
            return false;
        }
        grantedUntilMs = reportSentMs + GRANT_MS;
        accounts.values().forEach(account -> account.confirmedAdmitted = account.sentAdmitted);
        return true;
    }

    /** Requests of one organisation at this node. Guarded by the monitor of the limiter. */
    private static final class Account {

        private final long id;
        private final SlidingCount recent;
        private long admitted;
        private long sentAdmitted;
        private long confirmedAdmitted;
        private long ceiling;
        private int refused;
        private long fullUntilMs = Long.MIN_VALUE;
        private int fillPercent;
        private int[] earlier = new int[QuotaReport.EARLIER_PARTS];

        private Account(final long id, final long windowMs) {
            this.id = id;
            this.recent = new SlidingCount(windowMs);
        }
    }
}
