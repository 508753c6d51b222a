package org.sequoiashunt.execution;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.execution.HomeGroupSource.HomeGroupLists;
import org.sequoiashunt.time.SteppedClock;

final class HomeGroupResolverTest {

    private final SteppedClock clock = SteppedClock.of(1_000_000);
    private HomeGroupLists lists = new HomeGroupLists(List.of("east", "west"), List.of());
    private final HomeGroupResolver homes =
            new HomeGroupResolver(() -> Map.of("ledger", lists), clock, ClaimTiming.defaults(), ClaimRule.all());

    @Test
    void takesTheGroupThatTheKeyNames() {
        assertEquals(List.of("west"), homes.find("ledger", "west:17"));
        assertEquals(List.of("east"), homes.find("ledger", "east:17"));
    }

    @Test
    void hashesAKeyThatNamesNoGroupOfTheService() {
        assertEquals(1, homes.find("ledger", "north:17").size());
        assertEquals(homes.find("ledger", "north:17"), homes.find("ledger", "north:17"));
    }

    @Test
    void findsNothingForAServiceWithoutGroups() {
        assertEquals(List.of(), homes.find("desk", "17"));
    }

    @Test
    void asksTheFormerGroupsThatTheConfigurationNames() {
        lists = new HomeGroupLists(List.of("west"), List.of("east"));
        assertEquals(List.of("west", "east"), homes.find("ledger", "17"));
    }

    @Test
    void asksTheGroupsThatItSawItselfUntilTheWindowHasPassed() {
        lists = new HomeGroupLists(List.of("east"), List.of());
        homes.refresh();
        lists = new HomeGroupLists(List.of("west"), List.of());
        homes.refresh();
        clock.advance(ClaimTiming.defaults().retentionMs() - 1);
        homes.refresh();
        assertEquals(List.of("west", "east"), homes.find("ledger", "17"));
        clock.advance(1);
        homes.refresh();
        assertEquals(List.of("west"), homes.find("ledger", "17"));
    }
}
