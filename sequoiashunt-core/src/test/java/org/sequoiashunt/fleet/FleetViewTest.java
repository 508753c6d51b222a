package org.sequoiashunt.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.OptionalLong;
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
}
