package org.sequoiashunt.memory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import org.sequoiashunt.blackboard.BlockingTask;
import org.sequoiashunt.configuration.ConfigurationApplier;
import org.sequoiashunt.lead.ReplicaDependencies;
import org.sequoiashunt.lead.ReplicaNode;
import org.sequoiashunt.membership.MembershipSettings;
import org.sequoiashunt.membership.NodeIdentity;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.replication.Contacts;
import org.sequoiashunt.time.Clock;
import org.sequoiashunt.time.SteppedClock;

/**
 * Replica nodes of one process over a {@link SimulatedNetwork} and a {@link SimulatedStore}, for tests and trials. All
 * nodes run on the caller's thread, in steps of the clock.
 *
 * <p>Confined to one thread. Invariant: the same seed and the same calls give the same run.
 */
public final class SimulatedCluster {

    /** How often a node ticks, in milliseconds. */
    public static final long TICK_MS = 100;

    private static final long START_MS = 1_700_000_000_000L;
    private static final long STEP_MS = 5;
    private static final long DOMAIN_LATENCY_MS = 1;
    private static final long REGION_LATENCY_MS = 30;
    private static final int FIRST_PORT = 1;

    private final SteppedClock clock = SteppedClock.of(START_MS);
    private final SplittableRandom random;
    private final SimulatedStore store = new SimulatedStore(clock);
    private final SimulatedPlatform platform = new SimulatedPlatform(store);
    private final SimulatedNetwork network;
    private final Map<String, RunningNode> running = new TreeMap<>();
    private final Map<NodeAddress, NodeIdentity> identities = new HashMap<>();
    private final MembershipSettings settings;

    /**
     * Creates a cluster without nodes.
     *
     * @param seed the seed of all chance.
     * @param settings the times of membership of all nodes, not null.
     */
    public SimulatedCluster(final long seed, final MembershipSettings settings) {
        this.settings = Objects.requireNonNull(settings, "settings");
        random = new SplittableRandom(seed);
        network = new SimulatedNetwork(clock, random.split(), this::latencyMs);
    }

    /**
     * Describes a node; its address follows from its name and place.
     *
     * @param region the region, not null.
     * @param failureDomain the failure domain, not null.
     * @param index the number of the node, from 0 to 60,000, unique in the cluster.
     * @return the identity, never null.
     */
    public NodeIdentity identity(final String region, final String failureDomain, final int index) {
        NodeAddress address = new NodeAddress("127.0.0.1", FIRST_PORT + index);
        NodeIdentity identity = new NodeIdentity("node-" + index, failureDomain, region, address);
        identities.put(address, identity);
        return identity;
    }

    /**
     * Starts a node on the cluster's clock.
     *
     * @param identity the node, not null.
     * @return the node, never null.
     */
    public ReplicaNode start(final NodeIdentity identity) {
        return start(identity, clock, snapshot -> {}, new Contacts());
    }

    /**
     * Starts a node with a clock, an applier and contacts of its own.
     *
     * @param identity the node, not null.
     * @param nodeClock the clock of the node, not null.
     * @param applier puts configurations in force, not null.
     * @param contacts addresses known from the node's settings, not null.
     * @return the node, never null.
     */
    public ReplicaNode start(
            final NodeIdentity identity,
            final Clock nodeClock,
            final ConfigurationApplier applier,
            final Contacts contacts) {
        ReplicaDependencies ports = new ReplicaDependencies(
                nodeClock, network.sender(identity.node(), identity.address()), store, platform, platform);
        ReplicaNode node = new ReplicaNode(identity, settings, ports, contacts, applier, random.nextLong());
        network.attach(identity.address(), node);
        long firstTickMs = clock.nowMs() + random.nextLong(TICK_MS);
        running.put(identity.node(), new RunningNode(identity, node, firstTickMs));
        return node;
    }

    /**
     * Ends a node's process at once.
     *
     * @param node the name of the node, not null.
     */
    public void kill(final String node) {
        network.detach(running.remove(node).identity.address());
    }

    /**
     * Stops a node's process until it is thawed; what arrives meanwhile waits.
     *
     * @param node the name of the node, not null.
     */
    public void freeze(final String node) {
        running.get(node).frozen = true;
        network.freeze(running.get(node).identity.address());
    }

    /**
     * Lets a frozen node go on.
     *
     * @param node the name of the node, not null.
     */
    public void thaw(final String node) {
        running.get(node).frozen = false;
        network.thaw(running.get(node).identity.address());
    }

    /**
     * Lets time pass.
     *
     * @param durationMs how long, in milliseconds.
     */
    public void run(final long durationMs) {
        runUntil(() -> false, durationMs);
    }

    /**
     * Lets time pass until a condition holds.
     *
     * @param condition the condition, looked at after each step, not null.
     * @param limitMs the longest time, in milliseconds.
     * @return the time passed in milliseconds, or empty if the condition did not come to hold.
     */
    public Optional<Long> runUntil(final BooleanSupplier condition, final long limitMs) {
        long sinceMs = clock.nowMs();
        while (clock.nowMs() - sinceMs < limitMs) {
            if (condition.getAsBoolean()) {
                return Optional.of(clock.nowMs() - sinceMs);
            }
            clock.advance(STEP_MS);
            network.deliverDue();
            new ArrayList<>(running.values()).forEach(node -> node.advance(clock.nowMs()));
        }
        return condition.getAsBoolean() ? Optional.of(clock.nowMs() - sinceMs) : Optional.empty();
    }

    /**
     * Returns a running node.
     *
     * @param node the name of the node, not null.
     * @return the node, or null if no such node runs.
     */
    public ReplicaNode node(final String node) {
        RunningNode found = running.get(node);
        return found == null ? null : found.node;
    }

    /**
     * Lists the running nodes, frozen ones included.
     *
     * @return the nodes, ordered by name.
     */
    public Collection<ReplicaNode> nodes() {
        List<ReplicaNode> nodes = new ArrayList<>();
        running.values().forEach(entry -> nodes.add(entry.node));
        return nodes;
    }

    /**
     * Returns the place of an address.
     *
     * @param address the address of a node described before, not null.
     * @return its identity, never null.
     */
    public NodeIdentity at(final NodeAddress address) {
        return identities.get(address);
    }

    /**
     * Returns the clock.
     *
     * @return the clock, never null.
     */
    public SteppedClock clock() {
        return clock;
    }

    /**
     * Returns the store.
     *
     * @return the store, never null.
     */
    public SimulatedStore store() {
        return store;
    }

    /**
     * Returns the committed configuration and the summaries.
     *
     * @return the platform, never null.
     */
    public SimulatedPlatform platform() {
        return platform;
    }

    /**
     * Returns the network.
     *
     * @return the network, never null.
     */
    public SimulatedNetwork network() {
        return network;
    }

    private long latencyMs(final NodeAddress sender, final NodeAddress receiver) {
        NodeIdentity from = identities.get(sender);
        NodeIdentity to = identities.get(receiver);
        boolean sameRegion = from == null || to == null || from.region().equals(to.region());
        return sameRegion ? DOMAIN_LATENCY_MS : REGION_LATENCY_MS;
    }

    /** A node with the times at which it is next due. Confined to the thread of its cluster. */
    private static final class RunningNode {

        private final NodeIdentity identity;
        private final ReplicaNode node;
        private final List<BlockingTask> tasks;
        private final long[] taskDueMs;
        private long tickDueMs;
        private boolean frozen;

        private RunningNode(final NodeIdentity identity, final ReplicaNode node, final long firstTickMs) {
            this.identity = identity;
            this.node = node;
            this.tasks = node.tasks();
            this.taskDueMs = new long[tasks.size()];
            this.tickDueMs = firstTickMs;
        }

        private void advance(final long nowMs) {
            if (frozen) {
                return;
            }
            for (int index = 0; index < taskDueMs.length; index++) {
                if (nowMs >= taskDueMs[index]) {
                    taskDueMs[index] =
                            nowMs + Math.max(STEP_MS, tasks.get(index).step());
                }
            }
            if (nowMs >= tickDueMs) {
                tickDueMs = nowMs + TICK_MS;
                node.tick();
            }
        }
    }
}
