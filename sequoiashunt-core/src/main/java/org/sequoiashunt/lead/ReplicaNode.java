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
 * Replica of the blackboard with the controllers that maintain it: membership, replication, configuration, readiness
 * and lead. This is the class that an application embeds.
 *
 * <p>Call {@link #tick()} about every 100 ms and {@link #receive} for each message, both on one thread. Run each of the
 * {@link #tasks()} on a separate thread, since they block on the store.
 *
 * <p>{@link #tick()} and {@link #receive} are confined to one thread; the other methods are thread-safe.
 */
public final class ReplicaNode implements Controller {

    private final Blackboard blackboard = new Blackboard();
    private final MembershipController membership;
    private final ReplicationController replication;
    private final ConfigurationController configuration;
    private final ReadinessController readiness;
    private final StatusReporter statusReporter;
    private final LeadLease lease;
    private final ConfigurationWatcher watcher;
    private final LeadController leadController;
    private final BootstrapController bootstrap;

    /**
     * Creates the replica of a node that is about to join.
     *
     * @param identity the node, not null.
     * @param settings the time settings of membership, not null.
     * @param dependencies the external services, not null.
     * @param contacts addresses from the settings, not null; the contacts read from the store are added to it.
     * @param applier applies a configuration version, not null.
     * @param seed the seed of all random choices.
     */
    public ReplicaNode(
            final NodeIdentity identity,
            final MembershipSettings settings,
            final ReplicaDependencies dependencies,
            final Contacts contacts,
            final ConfigurationApplier applier,
            final long seed) {
        Objects.requireNonNull(identity, "identity");
        Objects.requireNonNull(dependencies, "dependencies");
        SplittableRandom random = new SplittableRandom(seed);
        membership = new MembershipController(
                identity, blackboard, dependencies.clock(), random.split(), dependencies.sender(), settings);
        replication = new ReplicationController(
                identity,
                blackboard,
                dependencies.clock(),
                random.split(),
                dependencies.sender(),
                membership::view,
                membership::mayMerge,
                contacts);
        configuration = new ConfigurationController(blackboard, applier);
        bootstrap =
                new BootstrapController(identity, dependencies.registry(), contacts, this::hasJoined, random.split());
        lease = new LeadLease(
                identity,
                dependencies.store(),
                dependencies.clock(),
                membership::view,
                bootstrap::lastReadResult,
                random.split());
        watcher = new ConfigurationWatcher(
                dependencies.source(), blackboard, dependencies.clock(), lease::isHeld, random.split());
        readiness = new ReadinessController(
                identity,
                membership,
                configuration,
                watcher,
                contacts,
                dependencies.clock(),
                random.split(),
                dependencies.sender());
        MemberStatusReports statusReports = new MemberStatusReports();
        statusReporter = new StatusReporter(
                identity,
                membership,
                configuration,
                statusReports,
                dependencies.clock(),
                random.split(),
                dependencies.sender());
        leadController = new LeadController(
                identity,
                lease,
                watcher,
                dependencies.registry(),
                statusReports,
                contacts,
                dependencies.clock(),
                membership::view);
    }

    @Override
    public void tick() {
        membership.tick();
        replication.tick();
        configuration.tick();
        statusReporter.tick();
        readiness.tick();
    }

    @Override
    public boolean receive(final String sender, final ControlMessage message) {
        if (replication.receive(sender, message)) {
            configuration.tick();
            return true;
        }
        return membership.receive(sender, message)
                || readiness.receive(sender, message)
                || statusReporter.receive(sender, message);
    }

    /**
     * Returns the tasks that block on the store.
     *
     * @return the tasks, never empty; run each on a separate thread.
     */
    public List<BlockingTask> tasks() {
        return List.of(bootstrap, leadController, watcher);
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
     * Returns the controller of the membership.
     *
     * @return the controller, never null.
     */
    public MembershipController membership() {
        return membership;
    }

    /**
     * Returns the controller that decides which configuration is in force.
     *
     * @return the controller, never null.
     */
    public ConfigurationController configuration() {
        return configuration;
    }

    /**
     * Tells whether this node may serve.
     *
     * @return true once the node has become ready; it then stays true.
     */
    public boolean isReady() {
        return readiness.isReady();
    }

    /**
     * Returns this node's side of the lead lease.
     *
     * @return the lease, never null.
     */
    public LeadLease lease() {
        return lease;
    }

    private boolean hasJoined() {
        return readiness.isReady() && lease.isHolderKnown();
    }
}
