package org.sequoiashunt.mesh;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.fleet.FleetView;
import org.sequoiashunt.fleet.NodeReports;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.placement.NodeLocation;
import org.sequoiashunt.time.SteppedClock;

class WatcherSelectionTest {

    private final SteppedClock clock = SteppedClock.of(100_000);
    private final FleetView fleet = new FleetView(clock);
    private long version = 5;
    private final WatcherSelection duty = new WatcherSelection(
            new NodeLocation("m", new NodeAddress("10.0.0.9", 7), "d", "north"), fleet, () -> version, clock);
    private long sequence;

    private void hear(final String node, final String region, final long theirVersion, final long ageMs) {
        sequence++;
        fleet.accept(NodeReports.of(node, region, 1, sequence, theirVersion, OptionalLong.of(ageMs)));
    }

    @Test
    void theFirstOfItsRegionWatches() {
        assertTrue(duty.isDue());
        hear("a", "south", 5, 0);
        assertTrue(duty.isDue(), "another region has a watch of its own");
        hear("a2", "north", 5, 0);
        assertFalse(duty.isDue());
    }

    @Test
    void watchesWhenTheFirstIsGone() {
        hear("a", "north", 5, 0);
        clock.advance(FleetView.LIVENESS_TIMEOUT_MS + 1);
        assertTrue(duty.isDue());
    }

    @Test
    void watchesWhenTheFirstReportsButItsWatchHangs() {
        hear("a", "north", 5, WatcherSelection.STALE_MS);
        assertFalse(duty.isDue());
        clock.advance(200);
        hear("a", "north", 5, WatcherSelection.STALE_MS + 200);
        assertTrue(duty.isDue());
    }

    @Test
    void aConfirmationOfALaterVersionIsNone() {
        hear("a", "north", 6, 0);
        assertTrue(duty.isDue(), "this node lags and must not wait");
    }

    @Test
    void ownConfirmationCounts() {
        hear("a", "north", 5, 60_000);
        assertTrue(duty.isDue());
        duty.confirmed();
        assertFalse(duty.isDue());
    }

    @Test
    void aNodeWithoutAConfigurationReadsForItself() {
        hear("a", "north", 5, 0);
        version = 0;
        assertTrue(duty.isDue());
    }
}
