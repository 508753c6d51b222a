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
    private final HomeGroupResolver resolver =
            new HomeGroupResolver(() -> Map.of("ledger", lists), clock, ClaimTiming.defaults(), ClaimRule.all());

    @Test
    void resolvesTheGroupNamedInTheKey() {
        assertEquals(List.of("west"), resolver.resolve("ledger", "west:17"));
        assertEquals(List.of("east"), resolver.resolve("ledger", "east:17"));
    }

    @Test
    void hashesAKeyThatNamesNoGroupOfTheService() {
        assertEquals(1, resolver.resolve("ledger", "north:17").size());
        assertEquals(resolver.resolve("ledger", "north:17"), resolver.resolve("ledger", "north:17"));
    }

    @Test
    void resolvesNoGroupForAServiceWithoutGroups() {
        assertEquals(List.of(), resolver.resolve("desk", "17"));
    }

    @Test
    void resolvesFormerGroupsNamedInTheConfiguration() {
        lists = new HomeGroupLists(List.of("west"), List.of("east"));
        assertEquals(List.of("west", "east"), resolver.resolve("ledger", "17"));
    }

    @Test
    void resolvesPreviouslySeenGroupsUntilTheRetentionWindowHasPassed() {
        lists = new HomeGroupLists(List.of("east"), List.of());
        resolver.refresh();
        lists = new HomeGroupLists(List.of("west"), List.of());
        resolver.refresh();
        clock.advance(ClaimTiming.defaults().retentionMs() - 1);
        resolver.refresh();
        assertEquals(List.of("west", "east"), resolver.resolve("ledger", "17"));
        clock.advance(1);
        resolver.refresh();
        assertEquals(List.of("west"), resolver.resolve("ledger", "17"));
    }
}
