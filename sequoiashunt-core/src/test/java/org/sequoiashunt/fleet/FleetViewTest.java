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
    void reportsOfOneProcessComeInOrder() {
        assertEquals(FleetView.Change.REGAINED, view.accept(report("a", 9, 2)));
        assertEquals(FleetView.Change.OUTDATED, view.accept(report("a", 9, 1)));
        assertEquals(FleetView.Change.REFRESHED, view.accept(report("a", 9, 3)));
    }

    @Test
    void aRestartedNodeReplacesItsPredecessorForGood() {
        view.accept(report("a", 9, 50));
        assertEquals(FleetView.Change.REGAINED, view.accept(report("a", 2, 1)));
        assertEquals(FleetView.Change.OUTDATED, view.accept(report("a", 9, 51)));
    }

    @Test
    void aSilentNodeIsNotLive() {
        view.accept(report("a", 1, 1));
        clock.advance(FleetView.LIVENESS_MS + 1);
        assertEquals(List.of(), view.live());
        assertEquals(1, view.audience().size(), "it is still reported to");
        clock.advance(FleetView.MEMORY_MS);
        assertTrue(view.audience().isEmpty());
    }

    @Test
    void nodesAreMetThroughOthers() {
        KnownNode other = new KnownNode("b", new NodeAddress("10.0.0.2", 7));
        NodeReport report = new NodeReport(
                "a",
                1,
                1,
                new NodeAddress("10.0.0.1", 7),
                "d",
                "north",
                false,
                0,
                OptionalLong.empty(),
                List.of(),
                List.of(),
                List.of(),
                List.of(other));
        view.accept(report);
        assertTrue(view.audience().contains(other));
    }
}
