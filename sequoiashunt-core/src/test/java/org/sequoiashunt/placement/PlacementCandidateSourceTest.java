package org.sequoiashunt.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.fleet.FleetView;
import org.sequoiashunt.fleet.NodeReport;
import org.sequoiashunt.fleet.TargetReport;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.time.SteppedClock;

class PlacementCandidateSourceTest {

    private static final NodeAddress ADDRESS = new NodeAddress("10.0.0.1", 7);

    private final SteppedClock clock = SteppedClock.of(1_000);
    private final FleetView view = new FleetView(clock);

    private static NodeReport report(final String node, final String service) {
        TargetReport target = new TargetReport("t-" + node, service, "v1", 4, true, 1, 0, 20, 0, 0, List.of(), 0);
        return new NodeReport(
                node,
                1,
                1,
                ADDRESS,
                "north-1",
                "north",
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

    /** Guards against a load that grows without bound: its decay with a negative age is a growth. */
    @Test
    void reportThatArrivesWhileTargetsAreListedHasNoNegativeAge() {
        PlacementCandidateSource source = new PlacementCandidateSource(
                new NodeLocation("n", ADDRESS, "north-1", "north"),
                view,
                service -> {
                    clock.advance(300);
                    view.accept(report("a", "desk"));
                    view.accept(report("b", "press"));
                    return List.of();
                },
                clock);
        List<PlacementCandidate> candidates = source.candidates("desk");
        assertEquals(1, candidates.size());
        assertEquals(0, candidates.get(0).reportAgeMs());
    }
}
