package org.sequoiashunt.node.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.fleet.FleetView;
import org.sequoiashunt.fleet.KnownNode;
import org.sequoiashunt.fleet.NodeReport;
import org.sequoiashunt.mesh.MoveTable;
import org.sequoiashunt.mesh.WatcherSelection;
import org.sequoiashunt.move.AnswerCounters;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.placement.NodeLocation;
import org.sequoiashunt.slot.SlotGate;
import org.sequoiashunt.slot.SlotGates;
import org.sequoiashunt.target.TargetRegistry;
import org.sequoiashunt.time.SteppedClock;

class FleetControllerTest {

    private static final long SIMULATED_SECONDS = 20;
    private static final NodeLocation LOCATION =
            new NodeLocation("self", new NodeAddress("10.0.0.1", 1), "north-1", "north");
    private static final KnownNode NEAR = new KnownNode("near", new NodeAddress("10.0.0.2", 1));
    private static final KnownNode FAR = new KnownNode("far", new NodeAddress("10.0.0.3", 1));

    private final SteppedClock clock = SteppedClock.of(10_000);
    private final FleetView fleet = new FleetView(clock);
    private final Map<NodeAddress, List<NodeReport>> sent = new HashMap<>();
    private final DecisionLog log =
            DecisionLog.start("self", clock, new PrintStream(OutputStream.nullOutputStream(), true));
    private final FleetController controller = controller();
    private long sequence;

    private FleetController controller() {
        ActiveConfiguration configuration = new ActiveConfiguration(new FakePlatform(), log);
        SlotGates gates = new SlotGates(
                new TargetRegistry(clock, 1_500),
                new SlotGate.Dependencies(
                        clock,
                        (target, request) -> {
                            throw new IllegalStateException("no call is expected");
                        },
                        new GateReporter("Request-Id", new AnswerCounters(), log, new MeshMetrics())));
        return new FleetController(
                LOCATION,
                1,
                new FleetController.Dependencies(
                        clock,
                        new Random(1),
                        fleet,
                        gates,
                        configuration,
                        new WatcherSelection(LOCATION, fleet, configuration::version, clock),
                        new MoveTable(),
                        new AnswerCounters(),
                        (receiver, message) -> sent.computeIfAbsent(receiver, unused -> new ArrayList<>())
                                .add((NodeReport) message),
                        () -> false,
                        log));
    }

    @AfterEach
    void close() throws InterruptedException {
        log.close();
    }

    private void receiveReport(final KnownNode node, final String region) {
        sequence++;
        controller.receive(
                node.node(),
                new NodeReport(
                        node.node(),
                        5,
                        sequence,
                        node.address(),
                        region + "-1",
                        region,
                        false,
                        0,
                        OptionalLong.empty(),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(NEAR, FAR)));
    }

    private void simulate() {
        for (int step = 0; step < SIMULATED_SECONDS * 10; step++) {
            receiveReport(NEAR, "north");
            receiveReport(FAR, "south");
            controller.tick();
            clock.advance(100);
        }
    }

    /** Bytes between regions cost the users almost four times as much as bytes within a region. */
    @Test
    void otherRegionsReceiveHalfAsManyReports() {
        simulate();
        int near = sent.get(NEAR.address()).size();
        int far = sent.get(FAR.address()).size();
        assertEquals(SIMULATED_SECONDS * 1_000 / FleetController.REPORT_PERIOD_MS, near, 3);
        assertEquals(near / 2.0, far, 3);
    }

    @Test
    void otherRegionsReceiveReportsWithinLivenessTimeoutDespiteOneLoss() {
        simulate();
        long reports = 1 + FleetController.SAME_REGION_REPORTS_PER_FULL_REPORT;
        assertTrue(
                2 * reports * FleetController.REPORT_PERIOD_MS < FleetView.LIVENESS_TIMEOUT_MS,
                "a node stays live although one report is lost");
    }

    @Test
    void requestedReportIsSentToAllRegionsAtNextTick() {
        simulate();
        int before = sent.get(FAR.address()).size();
        for (int change = 0; change < 4; change++) {
            controller.requestReport();
            controller.tick();
        }
        assertEquals(before + 4, sent.get(FAR.address()).size());
    }

    @Test
    void reportsEventuallyListAllKnownNodes() {
        simulate();
        Set<String> named = new HashSet<>();
        sent.get(NEAR.address()).forEach(report -> report.knownNodes().forEach(node -> named.add(node.node())));
        assertEquals(Set.of("near", "far"), named);
    }

    @Test
    void nodeWithoutReceivedReportGetsEveryReport() {
        KnownNode unseen = new KnownNode("unseen", new NodeAddress("10.0.0.4", 1));
        fleet.addKnownNode(unseen);
        simulate();
        assertEquals(sent.get(NEAR.address()).size(), sent.get(unseen.address()).size(), 3);
    }
}
