package org.sequoiashunt.link;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import org.sequoiashunt.fleet.Evacuation;
import org.sequoiashunt.fleet.EvacuationTable;
import org.sequoiashunt.fleet.FleetView;
import org.sequoiashunt.fleet.KnownNode;
import org.sequoiashunt.fleet.NodeReport;
import org.sequoiashunt.fleet.ReportBatch;
import org.sequoiashunt.fleet.ReportExchange;
import org.sequoiashunt.fleet.RouteTime;
import org.sequoiashunt.fleet.TargetReport;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.placement.NodeLocation;
import org.sequoiashunt.time.SteppedClock;

/**
 * Nodes that exchange reports over a simulated network on a stepped clock. Counts messages, and the bytes that cross
 * failure domains and regions in the encoding of the links.
 */
final class SimulatedFleet {

    static final long TICK_MS = 100;
    private static final int ROUTES = 4;

    private final SteppedClock clock = SteppedClock.of(1_000_000);
    private final Random random;
    private final FleetCodec codec = new FleetCodec();
    private final Map<String, Node> nodes = new TreeMap<>();
    private final Map<NodeAddress, Node> nodesByAddress = new HashMap<>();
    private final Set<String> killed = new HashSet<>();
    private final Deque<Delivery> inFlight = new ArrayDeque<>();
    private BiPredicate<NodeLocation, NodeLocation> cut = (sender, receiver) -> false;
    private long messages;
    private long bytesBetweenDomains;
    private long bytesBetweenRegions;

    SimulatedFleet(final long seed) {
        this.random = new Random(seed);
    }

    /** Creates a fleet whose nodes start at once; three nodes of each domain have five times the others' capacity. */
    static SimulatedFleet of(final int size, final int domains, final int regions, final long seed) {
        SimulatedFleet fleet = new SimulatedFleet(seed);
        for (int index = 0; index < size; index++) {
            int domain = index % domains;
            int rank = index / domains;
            fleet.start("n-%04d".formatted(index), "d-" + domain, "r-" + domain % regions, rank < 3 ? 1_500 : 300);
        }
        List<KnownNode> entries = fleet.nodes.values().stream()
                .map(node -> node.location.asKnownNode())
                .toList();
        fleet.nodes.values().forEach(node -> entries.forEach(node.view::addKnownNode));
        return fleet;
    }

    Node start(final String name, final String domain, final String region, final int capacity) {
        int index = nodes.size();
        NodeAddress address = new NodeAddress("10." + index / 65_536 + "." + index / 256 % 256 + "." + index % 256, 7);
        Node node = new Node(new NodeLocation(name, address, domain, region), capacity, random.nextLong(1_000_000));
        nodes.put(name, node);
        nodesByAddress.put(address, node);
        killed.remove(name);
        return node;
    }

    /** Ends the process of a node; messages to it are lost. */
    void kill(final String name) {
        killed.add(name);
    }

    void cut(final BiPredicate<NodeLocation, NodeLocation> isCut) {
        cut = isCut;
    }

    Node node(final String name) {
        return nodes.get(name);
    }

    List<Node> running() {
        return nodes.values().stream()
                .filter(node -> !killed.contains(node.location.node()))
                .toList();
    }

    /** Advances the clock; messages arrive with the next tick of their receiver. */
    void run(final long durationMs) {
        for (long elapsed = 0; elapsed < durationMs; elapsed += TICK_MS) {
            clock.advance(TICK_MS);
            for (int count = inFlight.size(); count > 0; count--) {
                deliver(inFlight.removeFirst());
            }
            running().forEach(node -> node.exchange.tick());
        }
    }

    private void deliver(final Delivery delivery) {
        Node node = nodesByAddress.get(delivery.receiver());
        if (!killed.contains(node.location.node()) && !cut.test(delivery.sender(), node.location)) {
            node.relayedReports += delivery.message() instanceof ReportBatch batch
                    ? batch.reports().size()
                    : 0;
            node.exchange.receive(delivery.sender().node(), delivery.message());
        }
    }

    private void send(final NodeLocation sender, final NodeAddress receiver, final ControlMessage message) {
        messages++;
        inFlight.addLast(new Delivery(sender, receiver, message));
        count(sender, nodesByAddress.get(receiver).location, message);
    }

    private void count(final NodeLocation sender, final NodeLocation receiver, final ControlMessage message) {
        if (sender.failureDomain().equals(receiver.failureDomain())) {
            return;
        }
        long bytes = codec.encode(message).size();
        bytesBetweenDomains += bytes;
        bytesBetweenRegions += sender.region().equals(receiver.region()) ? 0 : bytes;
    }

    void resetCounts() {
        messages = 0;
        bytesBetweenDomains = 0;
        bytesBetweenRegions = 0;
    }

    long messages() {
        return messages;
    }

    long bytesBetweenDomains() {
        return bytesBetweenDomains;
    }

    long bytesBetweenRegions() {
        return bytesBetweenRegions;
    }

    /** Returns the least number of live nodes that a running node has in its view, not counting itself. */
    int leastLiveNodes() {
        return running().stream()
                .mapToInt(node -> node.view.liveReports().size())
                .min()
                .orElse(0);
    }

    /** Returns the pairs of a running node and another one that it does not count as live, in text form. */
    List<String> missingPairs() {
        List<String> missing = new ArrayList<>();
        for (Node node : running()) {
            Set<String> live = new HashSet<>();
            node.view
                    .liveReports()
                    .forEach(received -> live.add(received.report().node()));
            running().stream()
                    .filter(other -> other != node && !live.contains(other.location.node()))
                    .forEach(other -> missing.add(node.location.node() + " lost " + other.location.node()));
        }
        return missing;
    }

    /** Returns the greatest age of a running node's report in another one's view, in its own domain or elsewhere. */
    long greatestAgeMs(final boolean sameDomain) {
        long greatestMs = 0;
        for (Node node : running()) {
            for (Node other : running()) {
                boolean same = node.location.failureDomain().equals(other.location.failureDomain());
                if (node != other && same == sameDomain) {
                    greatestMs = Math.max(greatestMs, node.ageOfMs(other.location.node()));
                }
            }
        }
        return greatestMs;
    }

    /** A message on its way. */
    private record Delivery(NodeLocation sender, NodeAddress receiver, ControlMessage message) {}

    /** A node with one target. */
    final class Node {

        private final NodeLocation location;
        private final int capacity;
        private final long incarnation;
        private final FleetView view = new FleetView(clock);
        private final EvacuationTable evacuations = new EvacuationTable(clock);
        private final ReportExchange exchange;
        private long version = 1;
        private boolean leaving;
        private long relayedReports;
        private OptionalLong confirmedAgeMs = OptionalLong.empty();

        private Node(final NodeLocation location, final int capacity, final long incarnation) {
            this.location = location;
            this.capacity = capacity;
            this.incarnation = incarnation;
            this.exchange = new ReportExchange(
                    location,
                    clock,
                    random,
                    view,
                    (receiver, message) -> send(location, receiver, message),
                    this::report,
                    (report, change) -> report.evacuations().forEach(this::learn));
        }

        private NodeReport report(final long sequence, final List<KnownNode> knownNodes) {
            List<RouteTime> times = new ArrayList<>();
            for (int route = 0; route < ROUTES; route++) {
                times.add(new RouteTime("route-" + route, 300 + random.nextInt(400)));
            }
            TargetReport target = new TargetReport(
                    "i-" + location.node(),
                    "desk",
                    "v1",
                    12,
                    !leaving,
                    random.nextInt(12),
                    random.nextInt(3),
                    400 + random.nextInt(300),
                    random.nextInt(20),
                    0,
                    times,
                    0);
            return new NodeReport(
                    location.node(),
                    incarnation,
                    sequence,
                    location.address(),
                    location.failureDomain(),
                    location.region(),
                    capacity,
                    leaving,
                    version,
                    confirmedAgeMs,
                    List.of(target),
                    List.of(),
                    List.of(),
                    List.of(),
                    knownNodes,
                    evacuations.reported(),
                    false);
        }

        /** Returns the number of reports that the node has received in batches. */
        long relayedReports() {
            return relayedReports;
        }

        FleetView view() {
            return view;
        }

        NodeLocation location() {
            return location;
        }

        ReportExchange exchange() {
            return exchange;
        }

        void activate(final long newVersion) {
            version = newVersion;
            exchange.requestReport();
        }

        void learn(final Evacuation evacuation) {
            if (evacuations.merge(evacuation)) {
                exchange.requestReport();
            }
        }

        boolean sees(final String failureDomain) {
            return evacuations.isEvacuated(failureDomain);
        }

        void leave() {
            leaving = true;
            exchange.requestReport();
        }

        void confirm(final long ageMs) {
            confirmedAgeMs = OptionalLong.of(ageMs);
        }

        boolean knows(final String name) {
            return view.liveReports().stream()
                    .anyMatch(received -> received.report().node().equals(name));
        }

        long ageOfMs(final String name) {
            return view.findReport(name)
                    .map(received -> clock.nowMs() - received.receivedAtMs())
                    .orElse(Long.MAX_VALUE);
        }
    }
}
