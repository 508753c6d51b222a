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
 * Performs the lead's work with the store: renews the lease, publishes the summary of the failure domain with the
 * contacts for nodes that start, and reads the contacts of the other failure domains.
 *
 * <p>{@link #step()} is confined to one thread that may block.
 */
public final class LeadController implements BlockingTask {

    private static final int MAXIMUM_CONTACTS = 5;
    private static final long MINIMUM_PUBLISH_INTERVAL_MS = 2_000;
    private static final long REFRESH_PERIOD_MS = 10_000;
    private static final long CONTACTS_READ_PERIOD_MS = 30_000;
    private static final long CONTACTS_RETRY_PAUSE_MS = 2_000;

    private final NodeIdentity identity;
    private final LeadLease lease;
    private final ConfigurationWatcher watcher;
    private final DomainRegistry registry;
    private final MemberStatusReports statusReports;
    private final Contacts contacts;
    private final Clock clock;
    private final Supplier<MembershipView> membershipView;
    private DomainSummary lastPublished;
    private long earliestPublishMs;
    private long nextRefreshMs;
    private long nextContactsReadMs;

    /**
     * Creates a controller.
     *
     * @param identity the node, not null.
     * @param lease the lead lease of this failure domain, not null.
     * @param watcher the watcher of the configuration, not null; its refusal is part of the summary.
     * @param registry the summaries of failure domains in the store, not null.
     * @param statusReports the latest reports of the members, not null.
     * @param contacts receives the contacts of the other failure domains, not null.
     * @param clock the clock, not null.
     * @param membershipView returns the current view of the members, not null.
     */
    public LeadController(
            final NodeIdentity identity,
            final LeadLease lease,
            final ConfigurationWatcher watcher,
            final DomainRegistry registry,
            final MemberStatusReports statusReports,
            final Contacts contacts,
            final Clock clock,
            final Supplier<MembershipView> membershipView) {
        this.identity = Objects.requireNonNull(identity, "identity");
        this.lease = Objects.requireNonNull(lease, "lease");
        this.watcher = Objects.requireNonNull(watcher, "watcher");
        this.registry = Objects.requireNonNull(registry, "registry");
        this.statusReports = Objects.requireNonNull(statusReports, "statusReports");
        this.contacts = Objects.requireNonNull(contacts, "contacts");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.membershipView = Objects.requireNonNull(membershipView, "membershipView");
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
        if (nowMs < earliestPublishMs) {
            return;
        }
        DomainSummary summary = createSummary(nowMs);
        if (nowMs < nextRefreshMs && hasSameContent(summary, lastPublished)) {
            return;
        }
        earliestPublishMs = nowMs + MINIMUM_PUBLISH_INTERVAL_MS;
        try {
            registry.write(summary);
            lastPublished = summary;
            nextRefreshMs = nowMs + REFRESH_PERIOD_MS;
        } catch (StoreException exception) {
            // Retried after the minimum publish interval.
            nextRefreshMs = nowMs;
        }
    }

    private void readContactsIfDue() {
        long nowMs = clock.nowMs();
        if (nowMs < nextContactsReadMs) {
            return;
        }
        try {
            for (DomainSummary summary : registry.readAll()) {
                if (!summary.failureDomain().equals(identity.failureDomain())) {
                    contacts.replace(summary.failureDomain(), summary.region(), summary.contacts());
                }
            }
            nextContactsReadMs = nowMs + CONTACTS_READ_PERIOD_MS;
        } catch (StoreException exception) {
            nextContactsReadMs = nowMs + CONTACTS_RETRY_PAUSE_MS;
        }
    }

    private DomainSummary createSummary(final long nowMs) {
        List<Member> members = membershipView.get().presentInLeadOrder(identity.failureDomain());
        Set<String> memberNames = new TreeSet<>();
        Set<String> servingNames = new TreeSet<>();
        for (Member member : members) {
            memberNames.add(member.node());
            if (member.state() == MemberState.SERVING) {
                servingNames.add(member.node());
            }
        }
        statusReports.retain(memberNames);
        long lowest = statusReports.versions(servingNames).stream()
                .mapToLong(Long::longValue)
                .min()
                .orElse(0);
        long highest = statusReports.versions(memberNames).stream()
                .mapToLong(Long::longValue)
                .max()
                .orElse(0);
        return new DomainSummary(
                identity.failureDomain(),
                identity.region(),
                identity.node(),
                contactAddresses(members),
                members.size(),
                lowest,
                highest,
                refusals(),
                nowMs);
    }

    private List<NodeAddress> contactAddresses(final List<Member> members) {
        Set<NodeAddress> addresses = new LinkedHashSet<>();
        addresses.add(identity.address());
        members.stream().limit(MAXIMUM_CONTACTS).map(Member::address).forEach(addresses::add);
        return addresses.stream().limit(MAXIMUM_CONTACTS).toList();
    }

    private List<String> refusals() {
        Set<String> refusals = new TreeSet<>(statusReports.refusals());
        refusals.add(watcher.lastReadResult().refusal());
        refusals.remove("");
        return new ArrayList<>(refusals);
    }

    private static boolean hasSameContent(final DomainSummary summary, final DomainSummary previous) {
        return previous != null
                && summary.contacts().equals(previous.contacts())
                && summary.members() == previous.members()
                && summary.lowestVersion() == previous.lowestVersion()
                && summary.highestVersion() == previous.highestVersion()
                && summary.refusals().equals(previous.refusals());
    }
}
