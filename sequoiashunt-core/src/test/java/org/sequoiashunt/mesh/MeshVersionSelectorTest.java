package org.sequoiashunt.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.fleet.MoveState;
import org.sequoiashunt.fleet.TargetReport;
import org.sequoiashunt.fleet.VersionMove;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.placement.Distance;
import org.sequoiashunt.placement.PlacementCandidate;

class MeshVersionSelectorTest {

    private final MoveTable board = new MoveTable();
    private final MeshVersionSelector chooser = new MeshVersionSelector(board, new Random(3));
    private final List<PlacementCandidate> both = List.of(candidate("old", "v1"), candidate("new", "v2"));

    private static PlacementCandidate candidate(final String target, final String version) {
        TargetReport report = new TargetReport(target, "desk", version, 4, true, 0, 0, 50, 0, 0, List.of());
        return new PlacementCandidate("n-" + target, new NodeAddress("127.0.0.1", 5), Distance.DOMAIN, report, 0, 0);
    }

    private void move(final MoveState state, final int share) {
        board.merge(new VersionMove("desk", "v2", 8, state, share));
    }

    private List<String> targets(final boolean chosenNew) {
        return chooser.filter("desk", both, chosenNew).stream()
                .map(candidate -> candidate.report().target())
                .toList();
    }

    @Test
    void dealsTheShareEvenly() {
        move(MoveState.RUNNING, 50);
        int chosen = 0;
        for (int request = 0; request < 200; request++) {
            chosen += chooser.chooseNew("desk") ? 1 : 0;
        }
        assertEquals(10, chosen);
    }

    @Test
    void anOrderAloneSendsNothingToTheNewVersion() {
        move(MoveState.RUNNING, 0);
        assertFalse(chooser.chooseNew("desk"));
        assertEquals(List.of("old"), targets(false));
    }

    @Test
    void aVersionThatWasRolledBackIsNeverChosen() {
        move(MoveState.RUNNING, 500);
        move(MoveState.ROLLED_BACK, 0);
        assertEquals(List.of("old"), targets(true));
        assertTrue(chooser.filter("desk", both.subList(1, 2), true).isEmpty());
    }

    @Test
    void aCompletedVersionTakesEverything() {
        move(MoveState.COMPLETED, 1_000);
        assertEquals(List.of("new"), targets(false));
    }

    @Test
    void standingsAreReplacedInOneDirectionOnly() {
        move(MoveState.RUNNING, 500);
        assertFalse(board.merge(new VersionMove("desk", "v2", 8, MoveState.RUNNING, 100)));
        move(MoveState.ROLLED_BACK, 0);
        assertFalse(board.merge(new VersionMove("desk", "v2", 8, MoveState.RUNNING, 900)));
        assertTrue(board.merge(new VersionMove("desk", "v3", 9, MoveState.RUNNING, 0)));
    }
}
