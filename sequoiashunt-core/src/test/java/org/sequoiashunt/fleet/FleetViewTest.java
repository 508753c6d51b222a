package org.sequoiashunt.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.time.SteppedClock;

class FleetViewTest {

    private final SteppedClock clock = SteppedClock.of(0);
    private final FleetView view = new FleetView(clock);

    private static NodeReport report(final String node, final long incarnation, final long sequence) {
        return NodeReports.of(node, "north", incarnation, sequence, 1, OptionalLong.empty());
    }

    @Test
    void earlierReportOfOneIncarnationIsOutdated() {
        assertEquals(FleetView.Change.REGAINED, view.accept(report("a", 9, 2)));
        assertEquals(FleetView.Change.OUTDATED, view.accept(report("a", 9, 1)));
        assertEquals(FleetView.Change.REFRESHED, view.accept(report("a", 9, 3)));
    }

    @Test
    void replacedIncarnationStaysOutdated() {
        view.accept(report("a", 9, 50));
        assertEquals(FleetView.Change.REGAINED, view.accept(report("a", 2, 1)));
        assertEquals(FleetView.Change.OUTDATED, view.accept(report("a", 9, 51)));
    }

    private FleetView.Change acceptRelayed(final NodeReport report, final long ageMs) {
        return view.acceptRelayed(new ReportBatch.RelayedReport(report, ageMs));
    }

    private long incarnationOf(final String node) {
        return view.findReport(node).orElseThrow().report().incarnation();
    }

    /** A relay wakes from a pause and passes on a report of a node that has been restarted meanwhile. */
    @Test
    void relayedReportOfEarlierIncarnationDoesNotReplaceLaterOne() {
        view.accept(report("a", 2, 1));
        clock.advance(400);
        assertEquals(FleetView.Change.OUTDATED, acceptRelayed(report("a", 1, 90), 100));
        assertEquals(FleetView.Change.REFRESHED, view.accept(report("a", 2, 2)));
        acceptRelayed(report("b", 2, 1), 0);
        clock.advance(400);
        assertEquals(FleetView.Change.OUTDATED, acceptRelayed(report("b", 1, 90), 100));
        assertEquals(2, incarnationOf("b"));
    }

    @Test
    void relayedReportOfLaterIncarnationReplacesSilentOne() {
        acceptRelayed(report("a", 1, 90), 0);
        clock.advance(FleetView.LIVENESS_TIMEOUT_MS + 1);
        assertEquals(FleetView.Change.REGAINED, acceptRelayed(report("a", 2, 1), 100));
        clock.advance(FleetView.LIVENESS_TIMEOUT_MS + 1);
        assertEquals(FleetView.Change.REGAINED, acceptRelayed(report("a", 3, 1), 100));
    }

    @Test
    void nodeItselfCorrectsARelayedIncarnationAtOnce() {
        acceptRelayed(report("a", 1, 90), 0);
        assertEquals(FleetView.Change.REGAINED, view.accept(report("a", 2, 1)));
        assertEquals(2, incarnationOf("a"));
    }

    /** The domain's other reports show that its relays are heard, so the missing one is that of a lost node. */
    @Test
    void relayedNodeIsNotLiveIfOthersOfItsDomainAreMuchFresher() {
        acceptRelayed(report("a", 1, 1), 0);
        acceptRelayed(report("b", 1, 1), 0);
        clock.advance(FleetView.LIVENESS_TIMEOUT_MS + 1);
        assertEquals(2, view.liveReports().size(), "both are late");
        acceptRelayed(report("b", 1, 2), 0);
        assertEquals(1, view.liveReports().size());
        clock.advance(FleetView.RELAYED_LIVENESS_TIMEOUT_MS + 1);
        assertEquals(0, view.liveReports().size());
    }

    @Test
    void silentNodeIsNotLive() {
        view.accept(report("a", 1, 1));
        clock.advance(FleetView.LIVENESS_TIMEOUT_MS + 1);
        assertEquals(List.of(), view.liveReports());
        assertEquals(1, view.knownNodes().size(), "reports are still sent to a silent node");
        clock.advance(FleetView.RETENTION_MS);
        assertTrue(view.knownNodes().isEmpty());
    }

    @Test
    void nodesKnownToReportingNodeReceiveReports() {
        KnownNode other = new KnownNode("b", new NodeAddress("10.0.0.2", 7), "d");
        NodeReport report = new NodeReport(
                "a",
                1,
                1,
                new NodeAddress("10.0.0.1", 7),
                "d",
                "north",
                600,
                false,
                0,
                OptionalLong.empty(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(other),
                List.of(),
                false);
        view.accept(report);
        assertTrue(view.knownNodes().contains(other));
    }

    /** Guards against calls to nodes that have left a service, and nodes that are missed, in the index by service. */
    @Test
    void nodesOfAServiceAreThoseOfAllLiveNodesThatHaveATargetOfIt() {
        Random random = new Random(7);
        for (int step = 1; step <= 20_000; step++) {
            clock.advance(random.nextInt(10) == 0 ? random.nextInt(4_000) : random.nextInt(20));
            String node = "n" + random.nextInt(24);
            NodeReport report = withService(node, "s" + random.nextInt(3), 1 + step / 5_000, step);
            if (random.nextBoolean()) {
                acceptRelayed(report, random.nextInt(3_000));
            } else {
                view.accept(report);
            }
            if (random.nextInt(40) == 0) {
                view.knownNodes();
            }
            for (String service : List.of("s0", "s1", "s2", "s3")) {
                Set<FleetView.ReceivedReport> expected = new HashSet<>(view.liveReports());
                expected.removeIf(received -> received.report().targets().stream()
                        .noneMatch(target -> target.service().equals(service)));
                assertEquals(expected, new HashSet<>(view.liveReports(service)));
            }
        }
    }

    private static NodeReport withService(
            final String node, final String service, final long incarnation, final long sequence) {
        NodeReport bare =
                NodeReports.of(node, "d" + node.length(), "north", 600, incarnation, sequence, 1, OptionalLong.empty());
        TargetReport target = new TargetReport("t-" + node, service, "v1", 4, true, 0, 0, 20, 0, 0, List.of(), 0);
        return new NodeReport(
                node,
                incarnation,
                sequence,
                bare.address(),
                bare.failureDomain(),
                bare.region(),
                600,
                false,
                1,
                OptionalLong.empty(),
                List.of(target),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                false);
    }
}
