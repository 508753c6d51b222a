package org.sequoiashunt.node.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.crash.CrashTable;
import org.sequoiashunt.fleet.ConfigurationCopy;
import org.sequoiashunt.fleet.ConfigurationRequest;
import org.sequoiashunt.fleet.Evacuation;
import org.sequoiashunt.fleet.EvacuationTable;
import org.sequoiashunt.fleet.FleetView;
import org.sequoiashunt.fleet.NodeReport;
import org.sequoiashunt.fleet.ReportBatch;
import org.sequoiashunt.fleet.ReportExchange;
import org.sequoiashunt.mesh.MoveTable;
import org.sequoiashunt.mesh.WatcherSelection;
import org.sequoiashunt.move.AnswerCounters;
import org.sequoiashunt.peer.ControlMessage;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.placement.NodeLocation;
import org.sequoiashunt.slot.SlotGate;
import org.sequoiashunt.slot.SlotGates;
import org.sequoiashunt.target.TargetRegistry;
import org.sequoiashunt.time.SteppedClock;

class FleetControllerTest {

    private static final long SIMULATED_SECONDS = 20;
    private static final int CAPACITY = 600;
    private static final NodeLocation LOCATION =
            new NodeLocation("self", new NodeAddress("10.0.0.1", 1), "north-1", "north");
    private static final NodeLocation NEAR =
            new NodeLocation("near", new NodeAddress("10.0.0.2", 1), "north-1", "north");
    private static final NodeLocation WEAK =
            new NodeLocation("a-weak", new NodeAddress("10.0.0.4", 1), "north-2", "north");
    private static final NodeLocation STRONG =
            new NodeLocation("strong", new NodeAddress("10.0.0.5", 1), "north-2", "north");
    private static final NodeLocation FAR = new NodeLocation("far", new NodeAddress("10.0.0.3", 1), "south-1", "south");

    private final SteppedClock clock = SteppedClock.of(10_000);
    private final FleetView fleet = new FleetView(clock);
    private final Map<NodeAddress, List<ControlMessage>> sent = new TreeMap<>();
    private final DecisionLog log =
            DecisionLog.start("self", clock, new PrintStream(OutputStream.nullOutputStream(), true));
    private final ActiveConfiguration configuration = new ActiveConfiguration(new FakePlatform(), log);
    private final EvacuationTable evacuations = new EvacuationTable(clock);
    private SlotGates gates;
    private final FleetController controller = controller();
    private long sequence;

    private FleetController controller() {
        gates = new SlotGates(
                new TargetRegistry(clock, 1_500),
                new SlotGate.Dependencies(
                        clock,
                        (target, request) -> {
                            throw new IllegalStateException("no call is expected");
                        },
                        new GateReporter(
                                "Request-Id",
                                new AnswerCounters(),
                                CrashGuards.unused(clock, log),
                                log,
                                new MeshMetrics())));
        return new FleetController(
                LOCATION,
                CAPACITY,
                1,
                new FleetController.Dependencies(
                        clock,
                        new Random(1),
                        fleet,
                        gates,
                        configuration,
                        new WatcherSelection(LOCATION, CAPACITY, fleet, configuration::version, clock),
                        new MoveTable(clock),
                        new CrashTable(clock),
                        new EvacuationControl(LOCATION, evacuations, gates, configuration, log, new MeshMetrics()),
                        new AnswerCounters(),
                        (receiver, message) -> sent.computeIfAbsent(receiver, unused -> new ArrayList<>())
                                .add(message),
                        () -> false,
                        report -> {},
                        log));
    }

    @AfterEach
    void close() throws InterruptedException {
        log.close();
    }

    private NodeReport report(final NodeLocation node, final int capacity, final long version) {
        sequence++;
        return new NodeReport(
                node.node(),
                5,
                sequence,
                node.address(),
                node.failureDomain(),
                node.region(),
                capacity,
                false,
                version,
                OptionalLong.empty(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                false);
    }

    private void receiveReport(final NodeLocation node, final int capacity, final long version) {
        NodeReport report = report(node, capacity, version);
        boolean relayed = !node.failureDomain().equals(LOCATION.failureDomain());
        controller.receive(
                node.node(), relayed ? new ReportBatch(List.of(new ReportBatch.RelayedReport(report, 0))) : report);
    }

    private void receiveReports(final long version) {
        receiveReport(NEAR, CAPACITY, version);
        receiveReport(WEAK, CAPACITY / 2, version);
        receiveReport(STRONG, CAPACITY, version);
        receiveReport(FAR, CAPACITY, version);
    }

    private void simulate(final long seconds) {
        for (int step = 0; step < seconds * 10; step++) {
            receiveReports(0);
            controller.tick();
            clock.advance(100);
        }
    }

    private <T extends ControlMessage> List<T> sentTo(final NodeLocation node, final Class<T> type) {
        return sent.getOrDefault(node.address(), List.of()).stream()
                .filter(type::isInstance)
                .map(type::cast)
                .toList();
    }

    private static Body document(final int version) {
        return Body.of(new byte[] {(byte) version});
    }

    @Test
    void reportsGoToOwnDomainOnly() {
        simulate(SIMULATED_SECONDS);
        assertEquals(
                SIMULATED_SECONDS * 1_000 / ReportExchange.REPORT_PERIOD_MS,
                sentTo(NEAR, NodeReport.class).size(),
                3);
        assertEquals(List.of(), sentTo(FAR, NodeReport.class));
        assertTrue(sentTo(FAR, ReportBatch.class).size() > SIMULATED_SECONDS / 2);
    }

    @Test
    void requestedReportIsSentAtNextTick() {
        simulate(SIMULATED_SECONDS);
        int before = sentTo(NEAR, NodeReport.class).size();
        for (int change = 0; change < 4; change++) {
            controller.requestReport();
            controller.tick();
        }
        assertEquals(before + 4, sentTo(NEAR, NodeReport.class).size());
    }

    @Test
    void reportsEventuallyListAllKnownNodes() {
        simulate(SIMULATED_SECONDS);
        Set<String> named = new HashSet<>();
        sentTo(NEAR, NodeReport.class).forEach(report -> report.knownNodes().forEach(node -> named.add(node.node())));
        assertEquals(Set.of("near", "far", "a-weak", "strong"), named);
    }

    @Test
    void nodeWithoutReceivedReportGetsEveryReport() {
        NodeLocation unseen = new NodeLocation("unseen", new NodeAddress("10.0.0.6", 1), "north-1", "north");
        NodeLocation unknown = new NodeLocation("unknown", new NodeAddress("10.0.0.7", 1), "", "north");
        fleet.addKnownNode(unseen.asKnownNode());
        fleet.addKnownNode(unknown.asKnownNode());
        simulate(10);
        assertEquals(
                sentTo(NEAR, NodeReport.class).size(),
                sentTo(unseen, NodeReport.class).size(),
                3);
        assertEquals(
                sentTo(NEAR, NodeReport.class).size(),
                sentTo(unknown, NodeReport.class).size(),
                3,
                "an entry without a failure domain");
    }

    /** A version of 2,000 routes takes seconds over the link of one node if that node sends it to every other one. */
    @Test
    void configurationIsSentOnceToEachOtherDomainOfTheRegion() {
        receiveReports(0);
        configuration.activateIfNewer(document(3), "store");
        controller.shareConfiguration();
        assertEquals(1, sentTo(NEAR, ConfigurationCopy.class).size());
        assertEquals(1, sentTo(STRONG, ConfigurationCopy.class).size());
        assertEquals(0, sentTo(WEAK, ConfigurationCopy.class).size());
        assertEquals(0, sentTo(FAR, ConfigurationCopy.class).size(), "another region reads the store itself");
    }

    @Test
    void configurationFromOtherDomainIsPassedOnWithinThisOne() {
        receiveReports(0);
        controller.receive(STRONG.node(), new ConfigurationCopy(3, document(3)));
        assertEquals(3, configuration.version());
        assertEquals(1, sentTo(NEAR, ConfigurationCopy.class).size());
        assertEquals(0, sentTo(WEAK, ConfigurationCopy.class).size());
        controller.receive(STRONG.node(), new ConfigurationCopy(3, document(3)));
        assertEquals(1, sentTo(NEAR, ConfigurationCopy.class).size(), "a repeated copy is not passed on");
    }

    @Test
    void configurationFromOwnDomainIsNotPassedOn() {
        receiveReports(0);
        controller.receive(NEAR.node(), new ConfigurationCopy(3, document(3)));
        assertEquals(0, sentTo(STRONG, ConfigurationCopy.class).size());
    }

    /** Guards against a started node that takes calls before it knows that its failure domain is evacuated. */
    @Test
    void startedNodeTakesCallsOnceAPeerHasReportedTheEvacuations() {
        controller.receive(NEAR.node(), new ConfigurationCopy(97, document(FakePlatform.VERSION_WITH_REGION)));
        assertFalse(gates.setSuspended(true), "suspended while the evacuations are not known");
        controller.receive(NEAR.node(), reportWith(new Evacuation("north-1", 7, true), false));
        assertFalse(gates.setSuspended(true));
        controller.tick();
        assertEquals(
                List.of(new Evacuation("north-1", 7, true)),
                sentTo(NEAR, NodeReport.class).get(0).evacuations());
        controller.receive(NEAR.node(), reportWith(new Evacuation("north-1", 9, false), false));
        controller.receive(NEAR.node(), reportWith(new Evacuation("north-1", 7, true), false));
        assertFalse(gates.setSuspended(false), "an order that its revocation has overtaken changes nothing");
    }

    /** Guards against nodes that started together and take each other for nodes that know the evacuations. */
    @Test
    void peerThatLacksTheEvacuationsDoesNotMakeThemKnown() {
        controller.receive(NEAR.node(), new ConfigurationCopy(97, document(FakePlatform.VERSION_WITH_REGION)));
        controller.receive(NEAR.node(), reportWith(new Evacuation("north-2", 7, true), true));
        assertFalse(gates.setSuspended(true), "still suspended");
        controller.tick();
        assertTrue(sentTo(NEAR, NodeReport.class).get(0).evacuationsUnknown(), "others must not rely on this node");
        receiveReport(STRONG, CAPACITY, 3);
        assertFalse(
                gates.setSuspended(false), "a node that never says so, as of an earlier version, counts as knowing");
    }

    /** Guards against refused calls after each start where the configuration does not ask for regions. */
    @Test
    void nothingWaitsForEvacuationsWithoutRegions() {
        assertFalse(gates.setSuspended(false), "not suspended without a configuration");
        controller.receive(NEAR.node(), new ConfigurationCopy(3, document(3)));
        assertFalse(gates.setSuspended(false));
        controller.tick();
        assertFalse(sentTo(NEAR, NodeReport.class).stream().anyMatch(NodeReport::evacuationsUnknown));
        controller.receive(NEAR.node(), reportWith(new Evacuation("north-1", 7, true), false));
        assertFalse(gates.setSuspended(true), "an order holds whatever the configuration says");
    }

    private NodeReport reportWith(final Evacuation evacuation, final boolean evacuationsUnknown) {
        sequence++;
        return new NodeReport(
                NEAR.node(),
                5,
                sequence,
                NEAR.address(),
                NEAR.failureDomain(),
                NEAR.region(),
                CAPACITY,
                false,
                3,
                OptionalLong.empty(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(evacuation),
                evacuationsUnknown);
    }

    @Test
    void laggingNodeAsksItsOwnDomain() {
        simulate(1);
        for (int step = 0; step < 5; step++) {
            receiveReports(4);
            controller.tick();
            clock.advance(100);
        }
        assertTrue(sentTo(NEAR, ConfigurationRequest.class).size() >= 1);
        assertEquals(0, sentTo(FAR, ConfigurationRequest.class).size());
        assertEquals(0, sentTo(STRONG, ConfigurationRequest.class).size());
    }
}
