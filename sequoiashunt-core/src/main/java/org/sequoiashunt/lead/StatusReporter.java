package org.sequoiashunt.lead;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.sequoiashunt.blackboard.Controller;
import org.sequoiashunt.configuration.ConfigurationController;
import org.sequoiashunt.membership.Member;
import org.sequoiashunt.membership.MembershipController;
import org.sequoiashunt.membership.NodeIdentity;
import org.sequoiashunt.membership.StatusReport;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.PeerSender;
import org.sequoiashunt.time.Clock;

/**
 * Reports to the lead of the failure domain which configuration this node has in force: on change, when the lead
 * changes, and now and then. Gathers the reports while this node is the lead.
 *
 * <p>Confined to one thread.
 */
public final class StatusReporter implements Controller {

    private static final long REFRESH_MS = 30_000;
    private static final long SPREAD_MS = 500;

    private final NodeIdentity identity;
    private final MembershipController membership;
    private final Supplier<StatusReport> status;
    private final MemberStatusReports domainStatus;
    private final Clock clock;
    private final RandomGenerator random;
    private final PeerSender sender;
    private StatusReport reported;
    private String reportedTo = "";
    private long dueMs = Long.MAX_VALUE;
    private long refreshMs;

    /**
     * Creates a reporter.
     *
     * @param identity the node, not null.
     * @param membership the node's membership, not null; its own entry is told the version in force.
     * @param configuration knows the version in force, not null.
     * @param domainStatus gathers the reports of others, not null.
     * @param clock the clock, not null.
     * @param random the source of chance, not null.
     * @param sender sends to other nodes, not null.
     */
    public StatusReporter(
            final NodeIdentity identity,
            final MembershipController membership,
            final ConfigurationController configuration,
            final MemberStatusReports domainStatus,
            final Clock clock,
            final RandomGenerator random,
            final PeerSender sender) {
        this.identity = Objects.requireNonNull(identity, "identity");
        this.membership = Objects.requireNonNull(membership, "membership");
        Objects.requireNonNull(configuration, "configuration");
        this.status = () -> new StatusReport(configuration.versionInForce(), configuration.refusal());
        this.domainStatus = Objects.requireNonNull(domainStatus, "domainStatus");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.random = Objects.requireNonNull(random, "random");
        this.sender = Objects.requireNonNull(sender, "sender");
    }

    @Override
    public void tick() {
        StatusReport present = status.get();
        membership
                .localMember()
                .updateWithoutPublishing(member -> member.withConfigurationVersion(present.configurationVersion()));
        domainStatus.record(identity.node(), present);
        Optional<Member> lead = membership.view().lead(identity.failureDomain());
        if (lead.isEmpty() || lead.get().node().equals(identity.node())) {
            return;
        }
        long nowMs = clock.nowMs();
        boolean changed = !present.equals(reported) || !lead.get().node().equals(reportedTo);
        if (dueMs == Long.MAX_VALUE && (changed || nowMs >= refreshMs)) {
            dueMs = nowMs + random.nextLong(SPREAD_MS);
        }
        if (nowMs >= dueMs) {
            report(present, lead.get(), nowMs);
        }
    }

    @Override
    public boolean receive(final String senderName, final ControlMessage message) {
        if (message instanceof StatusReport report) {
            domainStatus.record(senderName, report);
            return true;
        }
        return false;
    }

    private void report(final StatusReport present, final Member lead, final long nowMs) {
        sender.send(lead.address(), present);
        reported = present;
        reportedTo = lead.node();
        dueMs = Long.MAX_VALUE;
        refreshMs = nowMs + REFRESH_MS;
    }
}
