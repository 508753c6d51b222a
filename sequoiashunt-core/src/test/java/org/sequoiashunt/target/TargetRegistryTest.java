package org.sequoiashunt.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.target.TargetRegistry.Change;
import org.sequoiashunt.time.SteppedClock;

class TargetRegistryTest {

    private static final long PERIOD_MS = 1_500;

    private final SteppedClock clock = SteppedClock.of(0);
    private final TargetRegistry registry = new TargetRegistry(clock, PERIOD_MS);

    @BeforeEach
    void restoreNoDepartures() {
        registry.completeDepartures();
    }

    private static TargetAnnouncement announcement(
            final String target, final long startedAtMs, final long sequence, final boolean leaving) {
        return new TargetAnnouncement(
                target, new NodeAddress("10.0.0.1", 80), "desk", "v1", 4, leaving, startedAtMs, sequence, 0);
    }

    private List<String> accepting() {
        return registry.acceptingTargets().stream()
                .map(TargetAnnouncement::target)
                .toList();
    }

    @Test
    void announcedTargetJoinsAndLeaves() {
        assertEquals(Change.JOINED, registry.announce(announcement("a", 1, 1, false)));
        assertEquals(Change.REFRESHED, registry.announce(announcement("a", 1, 2, false)));
        assertEquals(Change.LEAVING, registry.announce(announcement("a", 1, 3, true)));
        assertEquals(List.of(), accepting());
    }

    @Test
    void lateAnnouncementDoesNotRevokeLeaving() {
        registry.announce(announcement("a", 1, 5, true));
        assertEquals(Change.OUTDATED, registry.announce(announcement("a", 1, 4, false)));
        registry.announce(announcement("a", 1, 6, false));
        assertEquals(List.of(), accepting(), "leaving is final for an incarnation");
    }

    @Test
    void lateAnnouncementDoesNotRestoreEarlierIncarnation() {
        registry.announce(announcement("a", 9, 1, false));
        assertEquals(Change.OUTDATED, registry.announce(announcement("a", 3, 70, false)));
        assertEquals(9, registry.acceptingTargets().get(0).startedAtMs());
    }

    /** Guards against restoring a target that left before the node, just started, received its announcements. */
    @Test
    void lateAnnouncementDoesNotRestoreTargetThatLeftWhileUnknown() {
        assertTrue(registry.leave("a", OptionalLong.empty()).isEmpty());
        clock.advance(2_800);
        assertEquals(Change.OUTDATED, registry.announce(announcement("a", 7, 16, false)));
        assertEquals(List.of(), accepting());
        assertEquals(
                Change.JOINED, registry.announce(announcement("b", 7, 16, false)), "other targets are not affected");
    }

    @Test
    void targetThatLeftWhileUnknownCanRestart() {
        registry.leave("a", OptionalLong.empty());
        clock.advance(1_000);
        assertEquals(Change.JOINED, registry.announce(announcement("a", 9, 1, false)));
        assertEquals(Change.REFRESHED, registry.announce(announcement("a", 9, 2, false)));
        assertEquals(Change.OUTDATED, registry.announce(announcement("a", 7, 16, false)));
    }

    @Test
    void targetWithLostFirstAnnouncementsJoinsAfterMaximumAnnouncementDelay() {
        registry.leave("a", OptionalLong.empty());
        clock.advance(TargetRegistry.MAXIMUM_ANNOUNCEMENT_DELAY_MS + 1);
        assertEquals(Change.JOINED, registry.announce(announcement("a", 9, 4, false)));
    }

    @Test
    void departedTargetStaysDepartedUntilRestart() {
        registry.announce(announcement("a", 1, 1, false));
        assertTrue(registry.leave("a", OptionalLong.empty()).isPresent());
        assertEquals(Change.OUTDATED, registry.announce(announcement("a", 1, 2, false)));
        assertEquals(Change.JOINED, registry.announce(announcement("a", 2, 1, false)));
    }

    @Test
    void departureOfUnknownTargetIsRetained() {
        registry.leave("a", OptionalLong.of(4));
        assertEquals(Change.OUTDATED, registry.announce(announcement("a", 4, 9, false)));
    }

    @Test
    void latestStartedTargetHoldsTheAddress() {
        registry.announce(announcement("old", 1, 1, false));
        registry.announce(announcement("new", 2, 1, false));
        assertEquals(List.of("new"), accepting());
        assertEquals(Change.OUTDATED, registry.announce(announcement("old", 1, 2, false)));
    }

    @Test
    void departureOfEarlierIncarnationIsIgnored() {
        registry.announce(announcement("a", 7, 1, false));
        assertTrue(registry.leave("a", OptionalLong.of(3)).isEmpty());
        assertEquals(List.of("a"), accepting());
    }

    @Test
    void silentTargetIsNotAccepting() {
        registry.announce(announcement("a", 1, 1, false));
        clock.advance(TargetRegistry.MISSED_ANNOUNCEMENT_LIMIT * PERIOD_MS + 1);
        assertEquals(List.of(), accepting());
        registry.announce(announcement("a", 1, 2, false));
        assertEquals(List.of("a"), accepting());
    }

    /** Guards against a target that left before a restart of its node and is used again after a late announcement. */
    @Test
    void lateAnnouncementDoesNotRestoreTargetThatLeftBeforeTheRestart() {
        registry.announce(announcement("a", 7, 15, true));
        TargetRegistry restarted = new TargetRegistry(clock, PERIOD_MS);
        restarted.restoreDepartures(List.of(registry.departureOf("a").orElseThrow()));
        restarted.completeDepartures();
        assertEquals(Change.OUTDATED, restarted.announce(announcement("a", 7, 14, false)));
        assertEquals(Change.JOINED, restarted.announce(announcement("a", 8, 1, false)), "a later incarnation");
        restarted.restoreDepartures(List.of(new TargetDeparture("a", OptionalLong.of(7))));
        assertEquals(1, restarted.acceptingTargets().size(), "the departure of the earlier one came late");
    }

    /** Guards against the same while nothing tells which targets left: a single announcement may be a late one. */
    @Test
    void targetIsHeldUntilItsSecondAnnouncementWhileDeparturesAreUnknown() {
        TargetRegistry restarted = new TargetRegistry(clock, PERIOD_MS);
        assertEquals(Change.HELD, restarted.announce(announcement("a", 7, 14, false)));
        clock.advance(20);
        assertEquals(Change.HELD, restarted.announce(announcement("a", 7, 15, false)), "late ones come together");
        assertEquals(0, restarted.acceptingTargets().size());
        clock.advance(PERIOD_MS);
        assertEquals(Change.JOINED, restarted.announce(announcement("a", 7, 16, false)));
        assertEquals(Change.JOINED, restarted.announce(announcement("b", 9, 1, false)), "a new incarnation");
    }

    @Test
    void heldTargetsJoinOnceDeparturesAreRestoredUnlessTheyLeft() {
        TargetRegistry restarted = new TargetRegistry(clock, PERIOD_MS);
        restarted.announce(announcement("a", 7, 14, false));
        restarted.announce(
                new TargetAnnouncement("b", new NodeAddress("10.0.0.1", 81), "desk", "v1", 4, false, 7, 30, 0));
        restarted.restoreDepartures(List.of(new TargetDeparture("a", OptionalLong.of(7))));
        restarted.completeDepartures();
        assertEquals(
                List.of("b"),
                restarted.acceptingTargets().stream()
                        .map(TargetAnnouncement::target)
                        .toList());
    }
}
