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

    private final MoveTable moves = new MoveTable();
    private final MeshVersionSelector selector = new MeshVersionSelector(moves, new Random(3));
    private final List<PlacementCandidate> candidates = List.of(candidate("old", "v1"), candidate("new", "v2"));

    private static PlacementCandidate candidate(final String target, final String version) {
        TargetReport report = new TargetReport(target, "desk", version, 4, true, 0, 0, 50, 0, 0, List.of());
        return new PlacementCandidate("n-" + target, new NodeAddress("127.0.0.1", 5), Distance.DOMAIN, report, 0, 0);
    }

    private void mergeMove(final MoveState state, final int sharePermille) {
        moves.merge(new VersionMove("desk", "v2", 8, state, sharePermille));
    }

    private List<String> filteredTargets(final boolean useNewVersion) {
        return selector.filter("desk", candidates, useNewVersion).stream()
                .map(candidate -> candidate.report().target())
                .toList();
    }

    @Test
    void newVersionTakesExactlyItsShare() {
        mergeMove(MoveState.RUNNING, 50);
        int chosen = 0;
        for (int request = 0; request < 200; request++) {
            chosen += selector.chooseNewVersion("desk") ? 1 : 0;
        }
        assertEquals(10, chosen);
    }

    @Test
    void moveWithZeroShareSendsNothingToNewVersion() {
        mergeMove(MoveState.RUNNING, 0);
        assertFalse(selector.chooseNewVersion("desk"));
        assertEquals(List.of("old"), filteredTargets(false));
    }

    @Test
    void rolledBackVersionIsNeverChosen() {
        mergeMove(MoveState.RUNNING, 500);
        mergeMove(MoveState.ROLLED_BACK, 0);
        assertEquals(List.of("old"), filteredTargets(true));
        assertTrue(selector.filter("desk", candidates.subList(1, 2), true).isEmpty());
    }

    @Test
    void completedMoveSendsAllRequestsToNewVersion() {
        mergeMove(MoveState.COMPLETED, 1_000);
        assertEquals(List.of("new"), filteredTargets(false));
    }

    @Test
    void moveIsReplacedOnlyByMoveThatSupersedesIt() {
        mergeMove(MoveState.RUNNING, 500);
        assertFalse(moves.merge(new VersionMove("desk", "v2", 8, MoveState.RUNNING, 100)));
        mergeMove(MoveState.ROLLED_BACK, 0);
        assertFalse(moves.merge(new VersionMove("desk", "v2", 8, MoveState.RUNNING, 900)));
        assertTrue(moves.merge(new VersionMove("desk", "v3", 9, MoveState.RUNNING, 0)));
    }
}
