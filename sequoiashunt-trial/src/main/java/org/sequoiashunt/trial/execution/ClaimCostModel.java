package org.sequoiashunt.trial.execution;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.execution.ClaimCapacity;
import org.sequoiashunt.execution.ClaimRule;
import org.sequoiashunt.execution.ClaimTiming;
import org.sequoiashunt.execution.HomeGroupSource.HomeGroupLists;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.store.StoreException;

/**
 * Counts what claims cost in a home group of ten nodes in two failure domains, with the product's own classes:
 * messages, bytes, added time and refusals. Messages take 1 ms between nodes and none within one.
 *
 * <p>Confined to one thread. Invariant: the same seed and scenario give the same figures.
 */
final class ClaimCostModel implements ModelEnvironment {

    /** Times of production. */
    static final ClaimTiming TIMING = ClaimTiming.defaults();

    private static final int NODES = 10;
    private static final long HOP_MS = 1;
    private static final long TICK_MS = 100;
    private static final long CLAIM_INTERVAL_MS = 10;
    static final long CALL_MS = 5_000;
    private static final String GROUP = "bac-bo";

    private final RandomGenerator random;
    private final ModelStore store;
    private final int rosterSize;
    private final List<ModelNode> nodes = new ArrayList<>();
    private final Map<String, ModelNode> nodesByName = new HashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::number));
    private List<ModelNode> entries = nodes;
    private final Set<String> minority = new HashSet<>();
    private final ClaimCost cost = new ClaimCost();
    private long nowMs;
    private long eventNumber;
    private int nextAttempt;

    ClaimCostModel(final long seed, final int rosterSize) {
        this.random = new Random(seed);
        this.store = new ModelStore(random);
        this.rosterSize = rosterSize;
        for (int index = 0; index < NODES; index++) {
            ModelNode node = new ModelNode("node" + index, GROUP, this, 0);
            nodes.add(node);
            nodesByName.put(node.name(), node);
            node.start();
        }
        at(TICK_MS, this::tick);
    }

    List<ModelNode> nodes() {
        return nodes;
    }

    /** Claims from now on only at some of the nodes. */
    void useEntries(final int first, final int end) {
        entries = nodes.subList(first, end);
    }

    /** Cuts some nodes from the others and from the store. */
    void split(final int count) {
        nodes.subList(0, count).forEach(node -> {
            minority.add(node.name());
            store.cut(node.name());
        });
    }

    /** Returns the nodes that are guards of the newest roster. */
    List<ModelNode> guards() {
        try {
            return store.registerFor("observer").read(GROUP).stream()
                    .flatMap(roster -> roster.guards().stream())
                    .map(nodesByName::get)
                    .toList();
        } catch (StoreException exception) {
            throw new IllegalStateException(exception);
        }
    }

    /** Lets time pass without claims. */
    void pass(final long durationMs) {
        long endMs = nowMs + durationMs;
        while (!events.isEmpty() && events.peek().atMs <= endMs) {
            Event event = events.poll();
            nowMs = event.atMs;
            event.action.run();
        }
        nowMs = endMs;
    }

    /** Lets time pass with claims of new keys at random entries that run. */
    ClaimCost claimFor(final long durationMs) {
        cost.clear();
        for (long offsetMs = 0; offsetMs < durationMs; offsetMs += CLAIM_INTERVAL_MS) {
            at(offsetMs, this::claim);
        }
        pass(durationMs + CALL_MS);
        return cost;
    }

    private void claim() {
        ModelNode entry = entries.get(random.nextInt(entries.size()));
        if (!entry.isRunning()) {
            return;
        }
        String attempt = "node7-00000001-" + nextAttempt++;
        String key = "key" + attempt;
        long startMs = nowMs;
        cost.asked();
        entry.coordinator()
                .claim("press-floor", key, attempt, entry.clock().nowMs() + CALL_MS)
                .thenAccept(refusal -> {
                    if (refusal.isEmpty() && entry.coordinator().beginDispatch("press-floor", key, attempt)) {
                        cost.granted(nowMs - startMs);
                        entry.coordinator()
                                .record("press-floor", key, attempt, CallResult.unknown(Reason.CONNECTION_FAILED));
                    } else {
                        cost.refused();
                    }
                });
    }

    private void tick() {
        nodes.forEach(ModelNode::tick);
        if (nowMs % (3 * TICK_MS) == 0) {
            nodes.forEach(ModelNode::tickController);
            for (ModelNode node : nodes) {
                ModelNode other = nodes.get(random.nextInt(nodes.size()));
                if (!isCut(node.name(), other.name())) {
                    node.pull(other);
                }
            }
        }
        at(TICK_MS, this::tick);
    }

    private void at(final long delayMs, final Runnable action) {
        events.add(new Event(nowMs + delayMs, eventNumber++, action));
    }

    private boolean isCut(final String from, final String to) {
        return minority.contains(from) != minority.contains(to);
    }

    @Override
    public void send(final String from, final String to, final ControlMessage message) {
        boolean local = from.equals(to);
        if (!local) {
            cost.sent(message);
        }
        if (!isCut(from, to)) {
            ModelNetwork.Delivery delivery = new ModelNetwork.Delivery(nowMs, eventNumber, from, to, message);
            at(local ? 0 : HOP_MS, () -> nodesByName.get(to).deliver(delivery));
        }
    }

    @Override
    public long nowMs() {
        return nowMs;
    }

    @Override
    public RandomGenerator random() {
        return random;
    }

    @Override
    public Set<ClaimRule> rules() {
        return ClaimRule.all();
    }

    @Override
    public ClaimTiming timing() {
        return TIMING;
    }

    @Override
    public ClaimCapacity capacity() {
        return ClaimCapacity.defaults();
    }

    @Override
    public int rosterSize() {
        return rosterSize;
    }

    @Override
    public ModelStore store() {
        return store;
    }

    @Override
    public Map<String, HomeGroupLists> homeGroups(final String node) {
        return Map.of("press-floor", new HomeGroupLists(List.of(GROUP), List.of()));
    }

    @Override
    public List<String> reachableOf(final ModelNode node) {
        return nodes.stream()
                .filter(other -> other.isAlive() && !isCut(node.name(), other.name()))
                .map(ModelNode::name)
                .toList();
    }

    /** Something that happens at a time. Immutable. */
    private record Event(long atMs, long number, Runnable action) {}
}
