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
    private final WatcherSelection selection = new WatcherSelection(
            new NodeLocation("m", new NodeAddress("10.0.0.9", 7), "domain-north", "north"),
            600,
            fleet,
            () -> version,
            clock);
    private long sequence;

    private void receiveReport(
            final String node, final String region, final long configurationVersion, final long confirmationAgeMs) {
        receiveReport(node, "domain-" + region, region, configurationVersion, confirmationAgeMs);
    }

    private void receiveReport(
            final String node,
            final String failureDomain,
            final String region,
            final long configurationVersion,
            final long confirmationAgeMs) {
        sequence++;
        fleet.accept(NodeReports.of(
                node,
                failureDomain,
                region,
                600,
                1,
                sequence,
                configurationVersion,
                OptionalLong.of(confirmationAgeMs)));
    }

    @Test
    void firstNodeOfRegionWatches() {
        assertTrue(selection.shouldWatch());
        receiveReport("a", "south", 5, 0);
        assertTrue(selection.shouldWatch(), "another region has its own watch");
        receiveReport("a2", "north", 5, 0);
        assertFalse(selection.shouldWatch());
    }

    @Test
    void watchesWhenFirstNodeIsNotLive() {
        receiveReport("a", "north", 5, 0);
        clock.advance(FleetView.LIVENESS_TIMEOUT_MS + 1);
        assertTrue(selection.shouldWatch());
    }

    @Test
    void watchesWhenConfirmationOfFirstNodeIsStale() {
        receiveReport("a", "north", 5, WatcherSelection.STALE_CONFIRMATION_MS);
        assertFalse(selection.shouldWatch());
        clock.advance(200);
        receiveReport("a", "north", 5, WatcherSelection.STALE_CONFIRMATION_MS + 200);
        assertTrue(selection.shouldWatch());
    }

    @Test
    void confirmationFromOtherDomainMayBeOlder() {
        receiveReport("a", "other-domain", "north", 5, WatcherSelection.STALE_CONFIRMATION_MS + 500);
        assertFalse(selection.shouldWatch(), "its report passes two relays");
        receiveReport("a", "other-domain", "north", 5, WatcherSelection.STALE_RELAYED_CONFIRMATION_MS + 1);
        assertTrue(selection.shouldWatch());
    }

    /** If the store is down, each call to it is wasted; one node in reach of it serves its domain. */
    @Test
    void nodeThatIsNoRelayWatchesLater() {
        long staleMs = WatcherSelection.STALE_CONFIRMATION_MS + 500;
        receiveReport("a", "north", 5, staleMs);
        assertTrue(selection.shouldWatch(), "the second node of the domain is a relay");
        receiveReport("b", "north", 5, staleMs);
        assertFalse(selection.shouldWatch(), "the third one is not");
        receiveReport("a", "north", 5, staleMs + WatcherSelection.OTHER_NODE_DELAY_MS);
        receiveReport("b", "north", 5, staleMs + WatcherSelection.OTHER_NODE_DELAY_MS);
        assertTrue(selection.shouldWatch());
    }

    @Test
    void nodeOfGreaterCapacityWatches() {
        WatcherSelection weak = new WatcherSelection(
                new NodeLocation("0", new NodeAddress("10.0.0.8", 7), "domain-north", "north"),
                300,
                fleet,
                () -> version,
                clock);
        receiveReport("a", "north", 5, 0);
        assertFalse(weak.shouldWatch(), "its name sorts first, but the other node has twice its capacity");
    }

    @Test
    void beforeFirstConfigurationOnlyFirstNodeWatches() {
        version = 0;
        receiveReport("a", "north", 0, 0);
        assertFalse(selection.shouldWatch());
    }

    @Test
    void ignoresConfirmationOfLaterVersion() {
        receiveReport("a", "north", 6, 0);
        assertTrue(selection.shouldWatch(), "a later version does not confirm this node's version");
    }

    @Test
    void doesNotWatchAfterOwnConfirmation() {
        receiveReport("a", "north", 5, 60_000);
        assertTrue(selection.shouldWatch());
        selection.recordConfirmation();
        assertFalse(selection.shouldWatch());
    }

    @Test
    void watchesWithoutConfiguration() {
        receiveReport("a", "north", 5, 0);
        version = 0;
        assertTrue(selection.shouldWatch());
    }
}
