package org.sequoiashunt.commit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.configuration.ConfigurationException;
import org.sequoiashunt.configuration.Route;
import org.sequoiashunt.configuration.ServiceConfiguration;
import org.sequoiashunt.store.MemoryStore;
import org.sequoiashunt.time.SteppedClock;

class HomeGroupChangeValidatorTest {

    private final SteppedClock clock = SteppedClock.of(1_000_000);
    private final ConfigurationCommitter committer = ConfigurationCommitter.of(
            MemoryStore.of(clock), clock, () -> StoreRetry.start(clock, new Random(1), clock::advance, 10_000));
    private int commits;

    @Test
    void changeOfHomeGroupsRequiresFormerGroups() throws ConfigurationException {
        commit(List.of("north"), List.of(), 1_000);
        assertEquals(
                "services.desk.formerHomeGroups: must be [north], since homeGroups changes",
                refusal(List.of("south"), List.of(), 1_000));
        assertEquals(CommitResult.Outcome.COMMITTED, commit(List.of("south"), List.of("north"), 1_000));
    }

    @Test
    void formerGroupsCannotBeRemovedWhileClaimsAreRetained() throws ConfigurationException {
        commit(List.of("north"), List.of(), 1_000);
        commit(List.of("south"), List.of("north"), 1_000);
        clock.advance(HomeGroupChangeValidator.FORMER_GROUPS_RETENTION_MS - 1);
        commit(List.of("south"), List.of("north"), 2_000);
        assertEquals(
                "services.desk.formerHomeGroups: must stay for another 1 s",
                refusal(List.of("south"), List.of(), 2_000));
        clock.advance(1);
        assertEquals(CommitResult.Outcome.COMMITTED, commit(List.of("south"), List.of(), 2_000));
    }

    @Test
    void secondChangeIsRefusedWhileFormerGroupsRemain() throws ConfigurationException {
        commit(List.of("north"), List.of(), 1_000);
        commit(List.of("south"), List.of("north"), 1_000);
        assertEquals(
                "services.desk.homeGroups: changed before; drop formerHomeGroups first, in a commit of its own",
                refusal(List.of("north"), List.of("south"), 1_000));
    }

    @Test
    void changesOutsideHomeGroupsAreAccepted() throws ConfigurationException {
        commit(List.of("north"), List.of(), 1_000);
        assertEquals(CommitResult.Outcome.COMMITTED, commit(List.of("north"), List.of(), 2_000));
    }

    private String refusal(final List<String> groups, final List<String> former, final long timeoutMs) {
        return assertThrows(ConfigurationException.class, () -> commit(groups, former, timeoutMs))
                .getMessage();
    }

    private CommitResult.Outcome commit(final List<String> groups, final List<String> former, final long timeoutMs)
            throws ConfigurationException {
        Route route = new Route("lookup", "/", Set.of("GET"), true, timeoutMs);
        ServiceConfiguration desk =
                new ServiceConfiguration("desk", "v1", Optional.empty(), List.of(route), groups, former);
        commits++;
        return committer
                .commit(new CommitRequest(
                        new TreeMap<>(Map.of("north", List.of("a"), "south", List.of("b"))),
                        new TreeMap<>(Map.of("desk", desk)),
                        "author",
                        "message",
                        "commit-" + commits,
                        false,
                        OptionalLong.empty()))
                .outcome();
    }
}
