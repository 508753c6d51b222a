package org.sequoiashunt.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.sequoiashunt.store.StoreRevision;
import org.sequoiashunt.time.Clock;

/**
 * Holds the latest order to evacuate each failure domain, or its revocation.
 *
 * <p>Orders arrive from the platform's store and from the reports of other nodes, repeatedly and in any order. Of two
 * for one failure domain, the one with the higher revision holds; at equal revisions, the revocation. A revocation is
 * kept until the table is full, so that an old report never restores its order.
 *
 * <p>Thread-safe: guarded by its own monitor. Invariants: the revision of a failure domain never decreases, unless its
 * revocation was evicted; the number of entries is bounded; an order in force is never evicted.
 */
public final class EvacuationTable {

    /** Bound of the entries: several times the failure domains that a deployment has. */
    static final int MAXIMUM_ENTRIES = 64;

    /**
     * Time for which a revocation is reported after it was learned, or after another node reported an older entry:
     * longer than nodes keep reports of silent nodes.
     */
    static final long REVOCATION_REPORT_MS = 60_000;

    /**
     * Time for which an order stays in force that the store no longer lists since it came back from an older copy: the
     * operator writes it again, but not at once. An order that the operator gave up meanwhile ends with this time.
     */
    static final long LOST_ORDER_MS = 30_000;

    private final Clock clock;
    private final Map<String, Entry> entriesByDomain = new HashMap<>();
    /** Orders that were lost in a restore of the store, by their failure domain. */
    private final Map<String, LostOrder> lostOrders = new HashMap<>();

    private boolean known;

    /**
     * Creates an empty table that does not know the orders in force yet.
     *
     * @param clock the clock, not null.
     */
    public EvacuationTable(final Clock clock) {
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Merges an order or a revocation with the entry of its failure domain.
     *
     * @param evacuation the order or revocation, not null.
     * @return true if the entry changed.
     */
    public synchronized boolean merge(final Evacuation evacuation) {
        Entry current = entriesByDomain.get(evacuation.failureDomain());
        if (current == null) {
            return add(evacuation);
        }
        if (current.evacuation().equals(evacuation)) {
            return false;
        }
        boolean supersedes = evacuation.revision() > current.evacuation().revision()
                || evacuation.revision() == current.evacuation().revision() && !evacuation.active();
        Evacuation latest = supersedes ? evacuation : current.evacuation();
        entriesByDomain.put(latest.failureDomain(), new Entry(latest, clock.nowMs()));
        return supersedes;
    }

    private boolean add(final Evacuation evacuation) {
        if (entriesByDomain.size() >= MAXIMUM_ENTRIES && !evictOldestRevocation()) {
            return false;
        }
        entriesByDomain.put(evacuation.failureDomain(), new Entry(evacuation, clock.nowMs()));
        return true;
    }

    private boolean evictOldestRevocation() {
        Optional<Evacuation> oldest = entriesByDomain.values().stream()
                .map(Entry::evacuation)
                .filter(evacuation -> !evacuation.active())
                .min(Comparator.comparingLong(Evacuation::revision));
        oldest.ifPresent(evacuation -> entriesByDomain.remove(evacuation.failureDomain()));
        return oldest.isPresent();
    }

    /**
     * Merges a complete list of the orders in force: it also revokes the orders that it no longer has. Orders of an
     * earlier era of the store may have been lost; {@link #revokeLostOrders} revokes them later.
     *
     * @param orders the orders in force, not null.
     * @param revision the revision up to which the list is complete; orders of later revisions stay.
     * @return true if an entry changed.
     */
    public synchronized boolean mergeComplete(final Collection<Evacuation> orders, final long revision) {
        known = true;
        Set<String> listed = new HashSet<>();
        boolean changed = false;
        for (Evacuation order : orders) {
            listed.add(order.failureDomain());
            changed |= merge(order);
        }
        for (Entry entry : List.copyOf(entriesByDomain.values())) {
            Evacuation evacuation = entry.evacuation();
            if (evacuation.active()
                    && evacuation.revision() <= revision
                    && !listed.contains(evacuation.failureDomain())) {
                LostOrder lost = new LostOrder(revision, clock.nowMs() + LOST_ORDER_MS);
                if (StoreRevision.eraOf(evacuation.revision()) < StoreRevision.eraOf(revision)) {
                    lostOrders.merge(evacuation.failureDomain(), lost, LostOrder::latestEra);
                } else {
                    changed |= merge(lost.revocationOf(evacuation.failureDomain()));
                }
            }
        }
        return changed;
    }

    /**
     * Revokes the orders that were lost in a restore of the store and not written again in time.
     *
     * @return the revocations that came into force, never null.
     */
    public synchronized List<Evacuation> revokeLostOrders() {
        if (lostOrders.isEmpty()) {
            return List.of();
        }
        List<Evacuation> due = lostOrders.entrySet().stream()
                .filter(lost -> lost.getValue().untilMs() <= clock.nowMs())
                .map(lost -> lost.getValue().revocationOf(lost.getKey()))
                .toList();
        due.forEach(revocation -> lostOrders.remove(revocation.failureDomain()));
        return due.stream().filter(this::merge).toList();
    }

    /** Records that a node which knows the orders in force has reported them. */
    public synchronized void markKnown() {
        known = true;
    }

    /**
     * Returns whether the orders in force are known: a complete list or the report of a node that knows them arrived.
     *
     * @return false after the start until then.
     */
    public synchronized boolean isKnown() {
        return known;
    }

    /**
     * Returns whether nothing may be sent to the targets of a failure domain.
     *
     * @param failureDomain the failure domain, not null.
     * @return true if an order for it is in force.
     */
    public synchronized boolean isEvacuated(final String failureDomain) {
        Entry entry = entriesByDomain.get(failureDomain);
        return entry != null && entry.evacuation().active();
    }

    /**
     * Lists what this node reports to others: the orders in force, and the revocations that others may not know.
     *
     * @return the entries in the order of their failure domains, never null.
     */
    public synchronized List<Evacuation> reported() {
        long nowMs = clock.nowMs();
        return entriesByDomain.values().stream()
                .filter(entry -> entry.evacuation().active() || nowMs - entry.lastDifferenceMs() < REVOCATION_REPORT_MS)
                .map(Entry::evacuation)
                .sorted(Comparator.comparing(Evacuation::failureDomain))
                .toList();
    }

    /** Revision of the first complete list of an era without the order, and when it ends. Immutable, thread-safe. */
    private record LostOrder(long revision, long untilMs) {

        private LostOrder latestEra(final LostOrder other) {
            return StoreRevision.eraOf(other.revision) > StoreRevision.eraOf(revision) ? other : this;
        }

        private Evacuation revocationOf(final String failureDomain) {
            return new Evacuation(failureDomain, revision, false);
        }
    }

    /** Latest entry of a failure domain, and when a different one last arrived. Immutable and thread-safe. */
    private record Entry(Evacuation evacuation, long lastDifferenceMs) {}
}
