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
 * Runs replica nodes in one process, over a {@link SimulatedNetwork} and a {@link SimulatedStore}, for tests and
 * trials. All nodes run on the caller's thread, in steps of the simulated clock.
 *
 * <p>Confined to one thread. Invariant: the same seed and the same calls give the same sequence of events.
 */
public final class SimulatedCluster {

    /** Period between two ticks of a node, in milliseconds. */
    public static final long TICK_MS = 100;

    private static final long START_MS = 1_700_000_000_000L;
    private static final long CLOCK_STEP_MS = 5;
    private static final long SAME_REGION_LATENCY_MS = 1;
    private static final long CROSS_REGION_LATENCY_MS = 30;
    private static final int FIRST_PORT = 1;

    private final SteppedClock clock = SteppedClock.of(START_MS);
    private final SplittableRandom random;
    private final SimulatedStore store = new SimulatedStore(clock);
    private final SimulatedPlatform platform = new SimulatedPlatform(store);
    private final SimulatedNetwork network;
    private final Map<String, RunningNode> runningNodes = new TreeMap<>();
    private final Map<NodeAddress, NodeIdentity> identities = new HashMap<>();
    private final MembershipSettings settings;

    /**
     * Creates a cluster without nodes.
     *
     * @param seed the seed of all random choices.
     * @param settings the time settings of membership for all nodes, not null.
     */
    public SimulatedCluster(final long seed, final MembershipSettings settings) {
        this.settings = Objects.requireNonNull(settings, "settings");
        random = new SplittableRandom(seed);
        network = new SimulatedNetwork(clock, random.split(), this::latencyMs);
    }

    /**
     * Registers the identity of a node, with a name and address derived from its index.
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
     * Starts a node with the given clock, applier and contacts.
     *
     * @param identity the node, not null.
     * @param nodeClock the clock of the node, not null.
     * @param applier applies configuration versions, not null.
     * @param contacts addresses from the node's settings, not null.
     * @return the node, never null.
     */
    public ReplicaNode start(
            final NodeIdentity identity,
            final Clock nodeClock,
            final ConfigurationApplier applier,
            final Contacts contacts) {
        ReplicaDependencies dependencies = new ReplicaDependencies(
                nodeClock, network.sender(identity.node(), identity.address()), store, platform, platform);
        ReplicaNode node = new ReplicaNode(identity, settings, dependencies, contacts, applier, random.nextLong());
        network.attach(identity.address(), node);
        long firstTickMs = clock.nowMs() + random.nextLong(TICK_MS);
        runningNodes.put(identity.node(), new RunningNode(identity, node, firstTickMs));
        return node;
    }

    /**
     * Kills a node's process: it stops at once, and messages to it are lost.
     *
     * @param node the name of the node, not null.
     */
    public void kill(final String node) {
        network.detach(runningNodes.remove(node).identity.address());
    }

    /**
     * Pauses a node's process until {@link #thaw}; messages that arrive meanwhile are held back.
     *
     * @param node the name of the node, not null.
     */
    public void freeze(final String node) {
        runningNodes.get(node).frozen = true;
        network.freeze(runningNodes.get(node).identity.address());
    }

    /**
     * Resumes a frozen node.
     *
     * @param node the name of the node, not null.
     */
    public void thaw(final String node) {
        runningNodes.get(node).frozen = false;
        network.thaw(runningNodes.get(node).identity.address());
    }

    /**
     * Runs all nodes for some time.
     *
     * @param durationMs the simulated time, in milliseconds.
     */
    public void run(final long durationMs) {
        runUntil(() -> false, durationMs);
    }

    /**
     * Runs all nodes until a condition holds.
     *
     * @param condition the condition, evaluated before the first and after each step, not null.
     * @param limitMs the longest simulated time, in milliseconds.
     * @return the simulated time passed in milliseconds, or empty if the condition did not hold within the limit.
     */
    public Optional<Long> runUntil(final BooleanSupplier condition, final long limitMs) {
        long startMs = clock.nowMs();
        while (clock.nowMs() - startMs < limitMs) {
            if (condition.getAsBoolean()) {
                return Optional.of(clock.nowMs() - startMs);
            }
            clock.advance(CLOCK_STEP_MS);
            network.deliverDue();
            new ArrayList<>(runningNodes.values()).forEach(node -> node.advance(clock.nowMs()));
        }
        return condition.getAsBoolean() ? Optional.of(clock.nowMs() - startMs) : Optional.empty();
    }

    /**
     * Returns a running node.
     *
     * @param node the name of the node, not null.
     * @return the node, or null if no such node runs.
     */
    public ReplicaNode node(final String node) {
        RunningNode found = runningNodes.get(node);
        return found == null ? null : found.node;
    }

    /**
     * Lists the running nodes, frozen ones included.
     *
     * @return the nodes, ordered by name.
     */
    public Collection<ReplicaNode> nodes() {
        List<ReplicaNode> nodes = new ArrayList<>();
        runningNodes.values().forEach(runningNode -> nodes.add(runningNode.node));
        return nodes;
    }

    /**
     * Returns the identity of the node at an address.
     *
     * @param address the address, not null.
     * @return the identity, or null if {@link #identity} has created none with this address.
     */
    public NodeIdentity identityAt(final NodeAddress address) {
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
     * Returns the source of the committed configuration and of the domain summaries.
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
        return sameRegion ? SAME_REGION_LATENCY_MS : CROSS_REGION_LATENCY_MS;
    }

    /** Running node, with the times of its next tick and task steps. Confined to the thread of its cluster. */
    private static final class RunningNode {

        private final NodeIdentity identity;
        private final ReplicaNode node;
        private final List<BlockingTask> tasks;
        private final long[] nextTaskStepMs;
        private long nextTickMs;
        private boolean frozen;

        private RunningNode(final NodeIdentity identity, final ReplicaNode node, final long firstTickMs) {
            this.identity = identity;
            this.node = node;
            this.tasks = node.tasks();
            this.nextTaskStepMs = new long[tasks.size()];
            this.nextTickMs = firstTickMs;
        }

        private void advance(final long nowMs) {
            if (frozen) {
                return;
            }
            for (int index = 0; index < nextTaskStepMs.length; index++) {
                if (nowMs >= nextTaskStepMs[index]) {
                    nextTaskStepMs[index] =
                            nowMs + Math.max(CLOCK_STEP_MS, tasks.get(index).step());
                }
            }
            if (nowMs >= nextTickMs) {
                nextTickMs = nowMs + TICK_MS;
                node.tick();
            }
        }
    }
}
