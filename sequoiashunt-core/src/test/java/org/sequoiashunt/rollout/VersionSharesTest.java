package org.sequoiashunt.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.configuration.ServiceConfiguration;

class VersionSharesTest {

    private final RolloutFixture fixture = new RolloutFixture();
    private final Blackboard blackboard = new Blackboard();
    private final LocallyStoppedMoves stoppedMoves = new LocallyStoppedMoves();
    private final VersionShares shares =
            VersionShares.of(blackboard, ServingMembers.of(blackboard, fixture.clock), stoppedMoves);
    private final ServiceConfiguration configuration =
            RolloutFixture.configuration(RolloutFixture.START_MS + RolloutFixture.WINDOW_MS);

    @BeforeEach
    void start() {
        join(RolloutFixture.FROM, RolloutFixture.TO);
    }

    @Test
    void sendsShareOfProgressToNewVersion() {
        progress(Stage.SHIFTING, 250_000);
        SplittableRandom random = new SplittableRandom(1);
        int chosen = 0;
        for (int request = 0; request < 10_000; request++) {
            chosen += shares.chooseVersion(configuration, random).equals(RolloutFixture.TO) ? 1 : 0;
        }

        assertTrue(chosen > 2_300 && chosen < 2_700, "requests sent to the new version: " + chosen);
    }

    @Test
    void sendsNothingWithoutProgressOrMove() {
        assertEquals(0, shares.newVersionShareParts(configuration));
        assertEquals(0, shares.newVersionShareParts(RolloutFixture.configuration(Optional.empty())));
    }

    @Test
    void sendsNothingToVersionWithoutTarget() {
        progress(Stage.SHIFTING, 250_000);
        join(RolloutFixture.FROM);

        assertEquals(0, shares.newVersionShareParts(configuration));
    }

    @Test
    void sendsAllToNewVersionWhenOldHasNoTarget() {
        progress(Stage.SHIFTING, 250_000);
        join(RolloutFixture.TO);

        assertEquals(RolloutProgress.WHOLE_SHARE_PARTS, shares.newVersionShareParts(configuration));
    }

    @Test
    void sendsNothingAfterRollback() {
        progress(Stage.WATCHING, 980_000);
        progress(Stage.TAKEN_BACK, 0);
        progress(Stage.SHIFTING, 900_000);

        assertEquals(0, shares.newVersionShareParts(configuration));
    }

    @Test
    void sendsNothingWhenStoppedLocally() {
        progress(Stage.WATCHING, 980_000);
        stoppedMoves.stop(RolloutFixture.move());

        assertEquals(0, shares.newVersionShareParts(configuration));
    }

    @Test
    void sendsAllAfterSealedDoneEvenIfStoppedLocally() {
        progress(Stage.SEALED_DONE, RolloutProgress.WHOLE_SHARE_PARTS);
        stoppedMoves.stop(RolloutFixture.move());

        assertEquals(RolloutFixture.TO, shares.chooseVersion(configuration, new SplittableRandom(1)));
    }

    private void join(final String... versions) {
        fixture.clock.advance(1_000);
        fixture.join(blackboard, "node-1", "ha-noi-a", versions);
    }

    private void progress(final Stage stage, final int shareParts) {
        RolloutProgress progress =
                new RolloutProgress(RolloutFixture.move(), RolloutFixture.SERVICE, stage, shareParts, "");
        blackboard.merge(Entry.of(progress.move(), "node-1", progress.entryVersion(), progress));
    }
}
