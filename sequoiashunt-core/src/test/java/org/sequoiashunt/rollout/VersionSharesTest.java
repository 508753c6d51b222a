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
            RolloutFixture.configuration(RolloutFixture.START_MS + RolloutFixture.MOVE_DURATION_MS);

    @BeforeEach
    void publishServingTargets() {
        publishTargets(RolloutFixture.OLD_VERSION, RolloutFixture.NEW_VERSION);
    }

    @Test
    void sendsShareOfProgressToNewVersion() {
        publishProgress(Stage.SHIFTING, 250_000);
        SplittableRandom random = new SplittableRandom(1);
        int chosen = 0;
        for (int request = 0; request < 10_000; request++) {
            chosen += shares.chooseVersion(configuration, random).equals(RolloutFixture.NEW_VERSION) ? 1 : 0;
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
        publishProgress(Stage.SHIFTING, 250_000);
        publishTargets(RolloutFixture.OLD_VERSION);

        assertEquals(0, shares.newVersionShareParts(configuration));
    }

    @Test
    void sendsAllToNewVersionWhenOldHasNoTarget() {
        publishProgress(Stage.SHIFTING, 250_000);
        publishTargets(RolloutFixture.NEW_VERSION);

        assertEquals(RolloutProgress.WHOLE_SHARE_PARTS, shares.newVersionShareParts(configuration));
    }

    @Test
    void sendsNothingAfterRollback() {
        publishProgress(Stage.WATCHING, 980_000);
        publishProgress(Stage.TAKEN_BACK, 0);
        publishProgress(Stage.SHIFTING, 900_000);

        assertEquals(0, shares.newVersionShareParts(configuration));
    }

    @Test
    void sendsNothingWhenStoppedLocally() {
        publishProgress(Stage.WATCHING, 980_000);
        stoppedMoves.stop(RolloutFixture.moveIdentity());

        assertEquals(0, shares.newVersionShareParts(configuration));
    }

    @Test
    void sendsAllAfterSealedDoneEvenIfStoppedLocally() {
        publishProgress(Stage.SEALED_DONE, RolloutProgress.WHOLE_SHARE_PARTS);
        stoppedMoves.stop(RolloutFixture.moveIdentity());

        assertEquals(RolloutFixture.NEW_VERSION, shares.chooseVersion(configuration, new SplittableRandom(1)));
    }

    private void publishTargets(final String... versions) {
        fixture.clock.advance(1_000);
        fixture.publishServingMember(blackboard, "node-1", "ha-noi-a", versions);
    }

    private void publishProgress(final Stage stage, final int shareParts) {
        RolloutProgress progress =
                new RolloutProgress(RolloutFixture.moveIdentity(), RolloutFixture.SERVICE, stage, shareParts, "");
        blackboard.merge(Entry.of(progress.move(), "node-1", progress.entryVersion(), progress));
    }
}
