package org.sequoiashunt.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.sequoiashunt.fleet.FleetView;
import org.sequoiashunt.fleet.NodeReport;
import org.sequoiashunt.fleet.ReportBatch;
import org.sequoiashunt.organisation.Organisation;
import org.sequoiashunt.organisation.RateLimit;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.time.SteppedClock;

/** Nodes with limiters, callers that come back after refusals, and links that take time or are cut; steps of 10 ms. */
final class SimulatedFleet {

    static final QuotaBounds BOUNDS = new QuotaBounds(5_000, 0.1, 20);
    static final int STEP_MS = 10;
    private static final int DOMAINS = 4;
    private static final int CALLERS_RETRIES = 2;
    private static final int MAXIMUM_REFUSAL_STEPS = 15;

    final Random random;
    final SteppedClock clock = SteppedClock.of(1_000_000);
    final List<Node> nodes = new ArrayList<>();
    final List<Load> loads = new ArrayList<>();
    long messages;
    private final Rule rule;
    private final PriorityQueue<Delivery> deliveries =
            new PriorityQueue<>(Comparator.comparingLong(Delivery::atMs).thenComparingLong(Delivery::order));
    private long deliveryOrder;

    SimulatedFleet(final int nodeCount, final long seed, final Rule rule) {
        this.random = new Random(seed);
        this.rule = rule;
        for (int index = 0; index < nodeCount; index++) {
            nodes.add(new Node(index, index % 11 == 3 ? 1_500 - index : 300));
        }
    }

    /** How requests are limited. */
    enum Rule {
        COORDINATED,
        STATIC_SHARES,
        PERFECT
    }

    void add(final double rate, final double[] weights) {
        loads.add(new Load("organisation-" + loads.size(), new RateLimit(rate, rate), weights));
    }

    void start() {
        nodes.forEach(Node::start);
    }

    void step() {
        long nowMs = clock.advance(STEP_MS);
        while (!deliveries.isEmpty() && deliveries.peek().atMs <= nowMs) {
            deliveries.poll().action.run();
        }
        nodes.forEach(node -> node.step(nowMs));
        loads.forEach(load -> load.step(nowMs));
    }

    private void after(final long delayMs, final Runnable action) {
        deliveries.add(new Delivery(clock.nowMs() + delayMs, deliveryOrder++, action));
    }

    private record Delivery(long atMs, long order, Runnable action) {}

    /** Node with its own view of the fleet, which reports of other failure domains reach late. */
    final class Node {

        final int index;
        final int capacity;
        final Map<String, RateLimit> limits = new TreeMap<>();
        int side;
        boolean live;
        QuotaController controller;
        private QuotaLimiter limiter;
        private FleetView fleet;
        private Map<String, RateLimit> inForce = Map.of();
        private long incarnation;
        private long sequence;
        private final int phase = random.nextInt(50);

        private Node(final int index, final int capacity) {
            this.index = index;
            this.capacity = capacity;
        }

        NodeAddress address() {
            return new NodeAddress("n" + index, 1);
        }

        void start() {
            live = true;
            incarnation = random.nextLong(Long.MAX_VALUE / 2);
            sequence = 0;
            fleet = new FleetView(clock);
            limiter = new QuotaLimiter(clock, Optional.of(BOUNDS), incarnation);
            loads.forEach(load -> limits.put(load.name, load.limit));
            inForce = Map.copyOf(limits);
            controller = new QuotaController(
                    new QuotaController.Dependencies(
                            "n" + index,
                            address(),
                            capacity,
                            clock,
                            fleet,
                            () -> inForce,
                            limiter,
                            () -> false,
                            this::send,
                            (previous, next, count) -> {}),
                    Optional.of(BOUNDS));
        }

        void lower(final String name, final RateLimit limit) {
            limits.put(name, limit);
            inForce = Map.copyOf(limits);
        }

        void remove(final String name) {
            limits.remove(name);
            inForce = Map.copyOf(limits);
        }

        private void send(final NodeAddress receiver, final ControlMessage message) {
            Node target = nodes.get(Integer.parseInt(receiver.host().substring(1)));
            messages++;
            if (reaches(target)) {
                long receiverIncarnation = target.incarnation;
                after(delayMs(target), () -> {
                    if (target.live && target.incarnation == receiverIncarnation && reaches(target)) {
                        target.controller.receive("n" + index, message);
                    }
                });
            }
        }

        private boolean reaches(final Node target) {
            return live && target.live && side == target.side;
        }

        private long delayMs(final Node target) {
            return index % 2 == target.index % 2 ? STEP_MS : 3 * STEP_MS;
        }

        private void step(final long nowMs) {
            long position = nowMs / STEP_MS + phase;
            if (!live) {
                return;
            }
            if (position % 50 == 0) {
                publish();
            }
            if (position % 10 == 0 && rule == Rule.COORDINATED) {
                controller.tick();
            }
        }

        private void publish() {
            NodeReport report = new NodeReport(
                    "n" + index,
                    incarnation,
                    ++sequence,
                    address(),
                    "d" + index % DOMAINS,
                    "r" + index % 2,
                    capacity,
                    false,
                    1,
                    OptionalLong.empty(),
                    List.of(),
                    List.of(),
                    List.of(),
                    List.of(),
                    List.of(),
                    List.of(),
                    false);
            for (Node other : nodes) {
                if (other != this && reaches(other)) {
                    boolean relayed = other.index % DOMAINS != index % DOMAINS;
                    long ageMs = relayed ? 300 + random.nextInt(120) * STEP_MS : 0;
                    after(ageMs + STEP_MS, () -> {
                        if (other.live && relayed) {
                            other.fleet.acceptRelayed(new ReportBatch.RelayedReport(report, ageMs));
                        } else if (other.live) {
                            other.fleet.accept(report);
                        }
                    });
                }
            }
        }
    }

    /** Requests of one organisation. */
    final class Load {

        private static final long SAMPLE_MS = 200;

        final String name;
        final RateLimit limit;
        final double[] weights;
        double factor = 0.6;
        double refusedByGates;
        boolean givesBack = true;
        int offered;
        int admitted;
        int firstRefusalsBelow;
        int finalRefusals;
        double lost;
        double fill;
        double worstExcess = Double.NEGATIVE_INFINITY;
        private final Deque<Long> window = new ArrayDeque<>();
        private final Deque<Long> offeredWindow = new ArrayDeque<>();
        private final Map<Integer, double[]> buckets = new HashMap<>();
        private RateLimit bound;

        private Load(final String name, final RateLimit limit, final double[] weights) {
            this.name = name;
            this.limit = limit;
            this.bound = limit;
            this.weights = weights;
        }

        int runsInWindow() {
            forgetBefore(window, clock.nowMs());
            return window.size();
        }

        /** Sets the limit that windows are checked against. */
        void bind(final RateLimit lowered) {
            bound = lowered;
        }

        private void step(final long nowMs) {
            if (nowMs % SAMPLE_MS == 0) {
                sample(nowMs);
            }
            double expected = limit.ratePerSecond() * factor * STEP_MS / 1_000;
            int count = 0;
            for (double left = random.nextDouble(); left > Math.exp(-expected); left *= random.nextDouble()) {
                count++;
            }
            for (int request = 0; request < count; request++) {
                Node node = nodes.get(pick());
                if (node.live) {
                    offered++;
                    offeredWindow.addLast(nowMs);
                    request(node, 0, nowMs);
                }
            }
        }

        /** Adds what the last window lacks of the requests offered in it, up to the entitlement. */
        private void sample(final long nowMs) {
            forgetBefore(window, nowMs);
            forgetBefore(offeredWindow, nowMs);
            double entitlement = limit.requestsWithin(BOUNDS.windowMs());
            double due = Math.min(offeredWindow.size(), entitlement);
            lost += Math.max(0, due - window.size()) * SAMPLE_MS / BOUNDS.windowMs();
            fill = window.size() / entitlement;
        }

        private void forgetBefore(final Deque<Long> times, final long nowMs) {
            while (!times.isEmpty() && times.peekFirst() <= nowMs - BOUNDS.windowMs()) {
                times.removeFirst();
            }
        }

        private int pick() {
            double position = random.nextDouble();
            for (int index = 0; index < weights.length; index++) {
                position -= weights[index];
                if (position < 0) {
                    return index;
                }
            }
            return weights.length - 1;
        }

        private void request(final Node node, final int attempt, final long nowMs) {
            forgetBefore(window, nowMs);
            QuotaDecision decision = decide(node, nowMs);
            if (decision.admitted()) {
                admitted++;
                if (refusedByGates > 0 && random.nextDouble() < refusedByGates) {
                    after(STEP_MS * (1 + random.nextInt(MAXIMUM_REFUSAL_STEPS)), () -> refuse(node, attempt, nowMs));
                    return;
                }
                window.addLast(nowMs);
                worstExcess = Math.max(worstExcess, window.size() - BOUNDS.maximum(bound));
                return;
            }
            boolean below = window.size() + 1 <= limit.requestsWithin(BOUNDS.windowMs());
            if (attempt == 0 && below) {
                firstRefusalsBelow++;
            }
            if (attempt < CALLERS_RETRIES && decision.expectedWaitMs() <= 1_000) {
                long waitMs = Math.round(decision.expectedWaitMs() * (1 + random.nextDouble()));
                after(waitMs, () -> {
                    if (node.live) {
                        request(node, attempt + 1, clock.nowMs());
                    }
                });
            } else {
                finalRefusals++;
            }
        }

        /** A gate has refused an admitted request, whose caller comes back. */
        private void refuse(final Node node, final int attempt, final long admittedMs) {
            if (givesBack && node.live) {
                node.limiter.giveBack(organisation(node), admittedMs);
            }
            if (attempt < CALLERS_RETRIES) {
                after(200 + random.nextInt(200), () -> {
                    if (node.live) {
                        request(node, attempt + 1, clock.nowMs());
                    }
                });
            }
        }

        private Organisation organisation(final Node node) {
            return new Organisation(name, OptionalInt.empty(), Optional.ofNullable(node.limits.get(name)), Set.of());
        }

        private QuotaDecision decide(final Node node, final long nowMs) {
            return switch (rule) {
                case COORDINATED -> node.limiter.tryAcquire(organisation(node));
                case PERFECT -> {
                    boolean room = window.size() + 1 <= limit.requestsWithin(BOUNDS.windowMs());
                    yield room ? QuotaDecision.ADMITTED : QuotaDecision.refused(300);
                }
                case STATIC_SHARES -> tryShare(node.index, nowMs);
            };
        }

        private QuotaDecision tryShare(final int node, final long nowMs) {
            double burst = Math.max(1, limit.burst() / nodes.size());
            double[] bucket = buckets.computeIfAbsent(node, unused -> new double[] {burst, nowMs});
            double refill = limit.ratePerSecond() / nodes.size() * (nowMs - bucket[1]) / 1_000;
            bucket[0] = Math.min(burst, bucket[0] + refill);
            bucket[1] = nowMs;
            if (bucket[0] < 1) {
                return QuotaDecision.refused(300);
            }
            bucket[0]--;
            return QuotaDecision.ADMITTED;
        }
    }
}
