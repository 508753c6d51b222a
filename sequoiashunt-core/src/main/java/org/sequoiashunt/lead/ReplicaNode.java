package org.sequoiashunt.lead;

import java.util.List;
import java.util.Objects;
import java.util.SplittableRandom;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.BlockingTask;
import org.sequoiashunt.blackboard.Controller;
import org.sequoiashunt.configuration.ConfigurationApplier;
import org.sequoiashunt.configuration.ConfigurationController;
import org.sequoiashunt.membership.MembershipController;
import org.sequoiashunt.membership.MembershipSettings;
import org.sequoiashunt.membership.NodeIdentity;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.replication.Contacts;
import org.sequoiashunt.replication.ReplicationController;

/**
 * Replica of the blackboard with everything that keeps it: membership, replication, configuration, start and lead. The
 * part that others embed.
 *
 * <p>Call {@link #tick()} about every 100 ms and {@link #receive} for each message, both on one thread. Run each of the
 * {@link #tasks()} on a thread of its own, since they wait for the store.
 *
 * <p>{@link #tick()} and {@link #receive} are confined to one thread; the other methods are thread-safe.
 */
public final class ReplicaNode implements Controller {

    private final Blackboard blackboard = new Blackboard();
    private final MembershipController membership;
    private final ReplicationController replication;
    private final ConfigurationController configuration;
    private final ReadinessController start;
    private final StatusReporter reporter;
    private final LeadLease lease;
    private final ConfigurationWatcher watcher;
    private final LeadController lead;
    private final BootstrapController bootstrap;

    /**
     * Creates the replica of a node that joins.
     *
     * @param identity the node, not null.
     * @param settings the times of membership, not null.
     * @param ports the outside systems, not null.
     * @param contacts addresses known from the settings, not null; extended by what the store knows.
     * @param applier puts a version of the configuration in force, not null.
     * @param seed the seed of all chance.
     */
    public ReplicaNode(
            final NodeIdentity identity,
            final MembershipSettings settings,
            final NodePorts ports,
            final Contacts contacts,
            final ConfigurationApplier applier,
            final long seed) {
        Objects.requireNonNull(identity, "identity");
        Objects.requireNonNull(ports, "ports");
        SplittableRandom random = new SplittableRandom(seed);
        membership =
                new MembershipController(identity, blackboard, ports.clock(), random.split(), ports.sender(), settings);
        replication = new ReplicationController(
                identity,
                blackboard,
                ports.clock(),
                random.split(),
                ports.sender(),
                membership::view,
                membership::mayMerge,
                contacts);
        configuration = new ConfigurationController(blackboard, applier);
        bootstrap = new BootstrapController(identity, ports.register(), contacts, this::hasJoined, random.split());
        lease = new LeadLease(
                identity, ports.store(), ports.clock(), membership::view, bootstrap::reading, random.split());
        watcher = new ConfigurationWatcher(ports.source(), blackboard, ports.clock(), lease::isHeld, random.split());
        start = new ReadinessController(
                identity, membership, configuration, watcher, contacts, ports.clock(), random.split(), ports.sender());
        MemberStatusReports status = new MemberStatusReports();
        reporter = new StatusReporter(
                identity, membership, configuration, status, ports.clock(), random.split(), ports.sender());
        lead = new LeadController(
                identity, lease, watcher, ports.register(), status, contacts, ports.clock(), membership::view);
    }

    @Override
    public void tick() {
        membership.tick();
        replication.tick();
        configuration.tick();
        reporter.tick();
        start.tick();
    }

    @Override
    public boolean receive(final String sender, final ControlMessage message) {
        if (replication.receive(sender, message)) {
            configuration.tick();
            return true;
        }
        return membership.receive(sender, message)
                || start.receive(sender, message)
                || reporter.receive(sender, message);
    }

    /**
     * Lists the tasks that wait for the store.
     *
     * @return the tasks; each needs a thread of its own.
     */
    public List<BlockingTask> tasks() {
        return List.of(bootstrap, lead, watcher);
    }

    /**
     * Returns the blackboard.
     *
     * @return the blackboard, never null.
     */
    public Blackboard blackboard() {
        return blackboard;
    }

    /**
     * Returns the membership.
     *
     * @return the membership, never null.
     */
    public MembershipController membership() {
        return membership;
    }

    /**
     * Returns the decision about the configuration in force.
     *
     * @return the configuration, never null.
     */
    public ConfigurationController configuration() {
        return configuration;
    }

    /**
     * Tells whether this node may serve.
     *
     * @return true once the node has passed its start.
     */
    public boolean isReady() {
        return start.isReady();
    }

    /**
     * Returns the lease of the lead.
     *
     * @return the lease, never null.
     */
    public LeadLease lease() {
        return lease;
    }

    private boolean hasJoined() {
        return start.isReady() && lease.isHolderKnown();
    }
}
