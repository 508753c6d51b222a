package org.sequoiashunt.lead;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.sequoiashunt.blackboard.BlockingTask;
import org.sequoiashunt.membership.DomainRegistry;
import org.sequoiashunt.membership.DomainSummary;
import org.sequoiashunt.membership.Member;
import org.sequoiashunt.membership.MemberState;
import org.sequoiashunt.membership.MembershipView;
import org.sequoiashunt.membership.NodeIdentity;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.replication.Contacts;
import org.sequoiashunt.store.StoreException;
import org.sequoiashunt.time.Clock;

/**
 * Does what the lead of a failure domain owes to the store: keeps the lease, publishes the summary with the contacts
 * for nodes that start, and reads the contacts of the other failure domains.
 *
 * <p>{@link #step()} is confined to one thread that may block.
 */
public final class LeadController implements BlockingTask {

    private static final int CONTACTS = 5;
    private static final long CHANGE_PERIOD_MS = 2_000;
    private static final long REFRESH_PERIOD_MS = 10_000;
    private static final long CONTACTS_PERIOD_MS = 30_000;
    private static final long RETRY_MS = 2_000;

    private final NodeIdentity identity;
    private final LeadLease lease;
    private final ConfigurationWatcher watcher;
    private final DomainRegistry register;
    private final MemberStatusReports status;
    private final Contacts contacts;
    private final Clock clock;
    private final Supplier<MembershipView> views;
    private DomainSummary published;
    private long nextChangeMs;
    private long nextRefreshMs;
    private long nextContactsMs;

    /**
     * Creates a controller.
     *
     * @param identity the node, not null.
     * @param lease the lease of the lead, not null.
     * @param watcher the watcher of the configuration, not null.
     * @param register the summaries in the store, not null.
     * @param status the reports of the members, not null.
     * @param contacts takes the contacts of the other failure domains, not null.
     * @param clock the clock, not null.
     * @param views gives the present view of the members, not null.
     */
    public LeadController(
            final NodeIdentity identity,
            final LeadLease lease,
            final ConfigurationWatcher watcher,
            final DomainRegistry register,
            final MemberStatusReports status,
            final Contacts contacts,
            final Clock clock,
            final Supplier<MembershipView> views) {
        this.identity = Objects.requireNonNull(identity, "identity");
        this.lease = Objects.requireNonNull(lease, "lease");
        this.watcher = Objects.requireNonNull(watcher, "watcher");
        this.register = Objects.requireNonNull(register, "register");
        this.status = Objects.requireNonNull(status, "status");
        this.contacts = Objects.requireNonNull(contacts, "contacts");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.views = Objects.requireNonNull(views, "views");
    }

    @Override
    public long step() {
        long pauseMs = lease.step();
        if (lease.isHeld()) {
            publishIfDue();
        }
        if (lease.isHeld()) {
            readContactsIfDue();
        }
        return pauseMs;
    }

    private void publishIfDue() {
        long nowMs = clock.nowMs();
        if (nowMs < nextChangeMs) {
            return;
        }
        DomainSummary summary = summary(nowMs);
        if (nowMs < nextRefreshMs && isSame(summary, published)) {
            return;
        }
        nextChangeMs = nowMs + CHANGE_PERIOD_MS;
        try {
            register.write(summary);
            published = summary;
            nextRefreshMs = nowMs + REFRESH_PERIOD_MS;
        } catch (StoreException exception) {
            // Tried again after the period for changes.
            nextRefreshMs = nowMs;
        }
    }

    private void readContactsIfDue() {
        long nowMs = clock.nowMs();
        if (nowMs < nextContactsMs) {
            return;
        }
        try {
            for (DomainSummary summary : register.readAll()) {
                if (!summary.failureDomain().equals(identity.failureDomain())) {
                    contacts.replace(summary.failureDomain(), summary.region(), summary.contacts());
                }
            }
            nextContactsMs = nowMs + CONTACTS_PERIOD_MS;
        } catch (StoreException exception) {
            nextContactsMs = nowMs + RETRY_MS;
        }
    }

    private DomainSummary summary(final long nowMs) {
        List<Member> present = views.get().presentInLeadOrder(identity.failureDomain());
        Set<String> names = new TreeSet<>();
        Set<String> serving = new TreeSet<>();
        for (Member member : present) {
            names.add(member.node());
            if (member.state() == MemberState.SERVING) {
                serving.add(member.node());
            }
        }
        status.retain(names);
        long lowest = status.versions(serving).stream()
                .mapToLong(Long::longValue)
                .min()
                .orElse(0);
        long highest =
                status.versions(names).stream().mapToLong(Long::longValue).max().orElse(0);
        return new DomainSummary(
                identity.failureDomain(),
                identity.region(),
                identity.node(),
                contactAddresses(present),
                present.size(),
                lowest,
                highest,
                refusals(),
                nowMs);
    }

    private List<NodeAddress> contactAddresses(final List<Member> present) {
        Set<NodeAddress> addresses = new LinkedHashSet<>();
        addresses.add(identity.address());
        present.stream().limit(CONTACTS).map(Member::address).forEach(addresses::add);
        return addresses.stream().limit(CONTACTS).toList();
    }

    private List<String> refusals() {
        Set<String> refusals = new TreeSet<>(status.refusals());
        refusals.add(watcher.reading().refusal());
        refusals.remove("");
        return new ArrayList<>(refusals);
    }

    private static boolean isSame(final DomainSummary summary, final DomainSummary before) {
        return before != null
                && summary.contacts().equals(before.contacts())
                && summary.members() == before.members()
                && summary.lowestVersion() == before.lowestVersion()
                && summary.highestVersion() == before.highestVersion()
                && summary.refusals().equals(before.refusals());
    }
}
