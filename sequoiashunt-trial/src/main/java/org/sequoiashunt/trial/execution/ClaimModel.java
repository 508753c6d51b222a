package org.sequoiashunt.trial.execution;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.sequoiashunt.execution.ClaimCapacity;
import org.sequoiashunt.execution.ClaimRule;
import org.sequoiashunt.execution.ClaimTiming;
import org.sequoiashunt.execution.HomeGroupSource.HomeGroupLists;
import org.sequoiashunt.peer.ControlMessage;

/**
 * Small deterministic model of two home groups that drives the product's own guards, coordinators and roster
 * controllers through one seeded schedule of faults and resends.
 *
 * <p>Confined to one thread. Invariant: the same seed and rules give the same history.
 */
public final class ClaimModel implements ModelEnvironment {

    /** Times of the model: those of production, scaled down so that a schedule spans several retention windows. */
    static final ClaimTiming TIMING = new ClaimTiming(4_000, 1_000, 600, 500, 650, 200);

    /** Largest relative drift between two clocks. */
    static final double DRIFT = 0.02;

    private static final long STEP_MS = 100;
    private static final long CONTROLLER_STEP_MS = 300;
    private static final long WARM_UP_MS = 7_000;
    private static final int WINDOWS = 7;
    private static final int KEY_ONE_IN = 3;
    private static final int EAST_NODES = 7;
    private static final int WEST_NODES = 3;
    private static final int ADOPTION_LAG_MS = 500;

    private final Set<ClaimRule> rules;
    private final RandomGenerator random;
    private final ModelNetwork network;
    private final ModelStore store;
    private final List<ModelNode> nodes = new ArrayList<>();
    private final Map<String, ModelNode> nodesByName = new HashMap<>();
    private final PriorityQueue<Planned> plan =
            new PriorityQueue<>(Comparator.comparingLong(Planned::atMs).thenComparingLong(Planned::number));
    private final Map<String, Long> adoptionLagMs = new HashMap<>();
    private final ModelHistory history = new ModelHistory();
    private final int rosterSize;
    private final ClaimCapacity capacity;
    private final long homeChangeMs;
    private final long endMs = WARM_UP_MS + WINDOWS * TIMING.retentionMs();
    private long nowMs;
    private long planned;

    private ClaimModel(final long seed, final Set<ClaimRule> rules) {
        this.rules = Set.copyOf(rules);
        this.random = new Random(seed);
        this.network = new ModelNetwork(random, (int) (2 * TIMING.retentionMs()));
        this.store = new ModelStore(random);
        this.rosterSize = 3 + random.nextInt(3);
        this.capacity = new ClaimCapacity(random.nextInt(4) == 0 ? 32 : 5_000, 50, 10_000);
        this.homeChangeMs = random.nextInt(3) == 0 ? WARM_UP_MS + random.nextInt((int) endMs / 2) : Integer.MAX_VALUE;
        addNodes("east", EAST_NODES);
        addNodes("west", WEST_NODES);
    }

    /**
     * Runs one schedule.
     *
     * @param seed the seed of everything random.
     * @param rules the rules that are on, not null.
     * @return what happened.
     */
    public static ScheduleReport run(final long seed, final Set<ClaimRule> rules) {
        return new ClaimModel(seed, rules).run();
    }

    List<ModelNode> nodes() {
        return nodes;
    }

    @Override
    public Set<ClaimRule> rules() {
        return rules;
    }

    @Override
    public RandomGenerator random() {
        return random;
    }

    ModelNetwork network() {
        return network;
    }

    @Override
    public ModelStore store() {
        return store;
    }

    @Override
    public ClaimTiming timing() {
        return TIMING;
    }

    @Override
    public int rosterSize() {
        return rosterSize;
    }

    @Override
    public ClaimCapacity capacity() {
        return capacity;
    }

    @Override
    public long nowMs() {
        return nowMs;
    }

    @Override
    public void send(final String from, final String to, final ControlMessage message) {
        network.send(from, to, message, nowMs);
    }

    /** Plans something for a later time. */
    void later(final long delayMs, final Runnable action) {
        plan.add(new Planned(nowMs + delayMs, planned++, action));
    }

    /** Nodes adopt each change of the home groups with a lag of their own. */
    @Override
    public Map<String, HomeGroupLists> homeGroups(final String node) {
        long sinceMs = nowMs - homeChangeMs - adoptionLagMs.get(node);
        if (sinceMs < 0) {
            return Map.of("ledger", new HomeGroupLists(List.of("east"), List.of()));
        }
        boolean formerDropped = sinceMs >= TIMING.retentionMs() + ADOPTION_LAG_MS;
        return Map.of("ledger", new HomeGroupLists(List.of("west"), formerDropped ? List.of() : List.of("east")));
    }

    @Override
    public List<String> reachableOf(final ModelNode node) {
        return nodes.stream()
                .filter(other -> other.group().equals(node.group()) && other.isAlive())
                .filter(other -> !network.isCut(node.name(), other.name()))
                .map(ModelNode::name)
                .toList();
    }

    private void addNodes(final String group, final int count) {
        for (int index = 0; index < count; index++) {
            ModelNode node = new ModelNode(group + index, group, this, DRIFT);
            nodes.add(node);
            nodesByName.put(node.name(), node);
            adoptionLagMs.put(node.name(), (long) random.nextInt(ADOPTION_LAG_MS));
        }
    }

    private ScheduleReport run() {
        nodes.forEach(ModelNode::start);
        ModelCallers callers = new ModelCallers(this, history);
        Runnable faults = random.nextBoolean() ? new ModelFaults(this)::step : new PartitionFaults(this)::step;
        while (nowMs < endMs) {
            nowMs += STEP_MS;
            if (nowMs > WARM_UP_MS && nowMs < endMs - TIMING.resendMs()) {
                if (random.nextInt(KEY_ONE_IN) == 0) {
                    callers.startKey();
                }
                faults.run();
            }
            step();
        }
        return history.report();
    }

    private void step() {
        while (!plan.isEmpty() && plan.peek().atMs <= nowMs) {
            plan.poll().action.run();
        }
        network.due(nowMs).forEach(delivery -> nodesByName.get(delivery.to()).deliver(delivery));
        nodes.forEach(ModelNode::tick);
        if (nowMs % CONTROLLER_STEP_MS == 0) {
            nodes.forEach(ModelNode::tickController);
            replicate();
        }
    }

    private void replicate() {
        for (ModelNode node : nodes) {
            ModelNode other = nodes.get(random.nextInt(nodes.size()));
            if (!network.isCut(other.name(), node.name())) {
                node.pull(other);
            }
        }
    }

    /** Something that happens later. Immutable. */
    private record Planned(long atMs, long number, Runnable action) {}
}
