package org.sequoiashunt.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.target.TargetRegistry.Change;
import org.sequoiashunt.time.SteppedClock;

class TargetRegistryTest {

    private static final long PERIOD_MS = 1_500;

    private final SteppedClock clock = SteppedClock.of(0);
    private final TargetRegistry register = new TargetRegistry(clock, PERIOD_MS);

    private static TargetAnnouncement announcement(
            final String target, final long bornMs, final long sequence, final boolean leaving) {
        return new TargetAnnouncement(
                target, new NodeAddress("10.0.0.1", 80), "desk", "v1", 4, leaving, bornMs, sequence, 0);
    }

    private List<String> accepting() {
        return register.accepting().stream().map(TargetAnnouncement::target).toList();
    }

    @Test
    void aTargetJoinsAndLeaves() {
        assertEquals(Change.JOINED, register.announce(announcement("a", 1, 1, false)));
        assertEquals(Change.REFRESHED, register.announce(announcement("a", 1, 2, false)));
        assertEquals(Change.LEAVING, register.announce(announcement("a", 1, 3, true)));
        assertEquals(List.of(), accepting());
    }

    @Test
    void aLateAnnouncementDoesNotTakeBackLeaving() {
        register.announce(announcement("a", 1, 5, true));
        assertEquals(Change.OUTDATED, register.announce(announcement("a", 1, 4, false)));
        register.announce(announcement("a", 1, 6, false));
        assertEquals(List.of(), accepting(), "leaving is final for an incarnation");
    }

    @Test
    void aLateAnnouncementDoesNotReviveAnEarlierIncarnation() {
        register.announce(announcement("a", 9, 1, false));
        assertEquals(Change.OUTDATED, register.announce(announcement("a", 3, 70, false)));
        assertEquals(9, register.accepting().get(0).bornMs());
    }

    /** A node that has just started acknowledges the leaving of a target that it has not heard of yet. */
    @Test
    void aLateAnnouncementDoesNotReviveATargetThatLeftBeforeItWasKnown() {
        assertTrue(register.leave("a", OptionalLong.empty()).isEmpty());
        clock.advance(2_800);
        assertEquals(Change.OUTDATED, register.announce(announcement("a", 7, 16, false)));
        assertEquals(List.of(), accepting());
        assertEquals(Change.JOINED, register.announce(announcement("b", 7, 16, false)), "others are not held up");
    }

    @Test
    void aTargetThatLeftBeforeItWasKnownMayStartAnew() {
        register.leave("a", OptionalLong.empty());
        clock.advance(1_000);
        assertEquals(Change.JOINED, register.announce(announcement("a", 9, 1, false)));
        assertEquals(Change.REFRESHED, register.announce(announcement("a", 9, 2, false)));
        assertEquals(Change.OUTDATED, register.announce(announcement("a", 7, 16, false)));
    }

    @Test
    void aTargetWhoseFirstAnnouncementsWereLostIsTakenOnceNoneCanBeLate() {
        register.leave("a", OptionalLong.empty());
        clock.advance(TargetRegistry.LATE_ANNOUNCEMENT_MS + 1);
        assertEquals(Change.JOINED, register.announce(announcement("a", 9, 4, false)));
    }

    @Test
    void aTargetThatLeftStaysLeftUntilItStartsAnew() {
        register.announce(announcement("a", 1, 1, false));
        assertTrue(register.leave("a", OptionalLong.empty()).isPresent());
        assertEquals(Change.OUTDATED, register.announce(announcement("a", 1, 2, false)));
        assertEquals(Change.JOINED, register.announce(announcement("a", 2, 1, false)));
    }

    @Test
    void anUnknownFarewellIsRemembered() {
        register.leave("a", OptionalLong.of(4));
        assertEquals(Change.OUTDATED, register.announce(announcement("a", 4, 9, false)));
    }

    @Test
    void theLatestStartHoldsTheAddress() {
        register.announce(announcement("old", 1, 1, false));
        register.announce(announcement("new", 2, 1, false));
        assertEquals(List.of("new"), accepting());
        assertEquals(Change.OUTDATED, register.announce(announcement("old", 1, 2, false)));
    }

    @Test
    void aFarewellOfAnEarlierIncarnationChangesNothing() {
        register.announce(announcement("a", 7, 1, false));
        assertTrue(register.leave("a", OptionalLong.of(3)).isEmpty());
        assertEquals(List.of("a"), accepting());
    }

    @Test
    void aSilentTargetGetsNoWork() {
        register.announce(announcement("a", 1, 1, false));
        clock.advance(TargetRegistry.MISSED_ANNOUNCEMENTS * PERIOD_MS + 1);
        assertEquals(List.of(), accepting());
        register.announce(announcement("a", 1, 2, false));
        assertEquals(List.of("a"), accepting());
    }
}
