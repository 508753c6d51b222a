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
 * Reports this node's configuration status to the lead of the failure domain: when the status or the lead changes, and
 * periodically. Also records the reports that this node receives as the lead.
 *
 * <p>Confined to one thread.
 */
public final class StatusReporter implements Controller {

    private static final long REFRESH_PERIOD_MS = 30_000;
    private static final long MAXIMUM_SEND_DELAY_MS = 500;

    private final NodeIdentity identity;
    private final MembershipController membership;
    private final Supplier<StatusReport> currentStatus;
    private final MemberStatusReports receivedReports;
    private final Clock clock;
    private final RandomGenerator random;
    private final PeerSender sender;
    private StatusReport lastReport;
    private String lastReceiver = "";
    private long nextSendMs = Long.MAX_VALUE;
    private long nextRefreshMs;

    /**
     * Creates a reporter.
     *
     * @param identity the node, not null.
     * @param membership the node's membership, not null; its local entry is updated with the version in force.
     * @param configuration provides the version in force, not null.
     * @param receivedReports records the reports of this node and of others, not null.
     * @param clock the clock, not null.
     * @param random the random number generator, not null.
     * @param sender sends to other nodes, not null.
     */
    public StatusReporter(
            final NodeIdentity identity,
            final MembershipController membership,
            final ConfigurationController configuration,
            final MemberStatusReports receivedReports,
            final Clock clock,
            final RandomGenerator random,
            final PeerSender sender) {
        this.identity = Objects.requireNonNull(identity, "identity");
        this.membership = Objects.requireNonNull(membership, "membership");
        Objects.requireNonNull(configuration, "configuration");
        this.currentStatus = () -> new StatusReport(configuration.versionInForce(), configuration.refusal());
        this.receivedReports = Objects.requireNonNull(receivedReports, "receivedReports");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.random = Objects.requireNonNull(random, "random");
        this.sender = Objects.requireNonNull(sender, "sender");
    }

    @Override
    public void tick() {
        StatusReport current = currentStatus.get();
        membership
                .localMember()
                .updateWithoutPublishing(member -> member.withConfigurationVersion(current.configurationVersion()));
        receivedReports.record(identity.node(), current);
        Optional<Member> lead = membership.view().lead(identity.failureDomain());
        if (lead.isEmpty() || lead.get().node().equals(identity.node())) {
            return;
        }
        long nowMs = clock.nowMs();
        boolean changed = !current.equals(lastReport) || !lead.get().node().equals(lastReceiver);
        if (nextSendMs == Long.MAX_VALUE && (changed || nowMs >= nextRefreshMs)) {
            nextSendMs = nowMs + random.nextLong(MAXIMUM_SEND_DELAY_MS);
        }
        if (nowMs >= nextSendMs) {
            send(current, lead.get(), nowMs);
        }
    }

    @Override
    public boolean receive(final String senderName, final ControlMessage message) {
        if (message instanceof StatusReport report) {
            receivedReports.record(senderName, report);
            return true;
        }
        return false;
    }

    private void send(final StatusReport current, final Member lead, final long nowMs) {
        sender.send(lead.address(), current);
        lastReport = current;
        lastReceiver = lead.node();
        nextSendMs = Long.MAX_VALUE;
        nextRefreshMs = nowMs + REFRESH_PERIOD_MS;
    }
}
