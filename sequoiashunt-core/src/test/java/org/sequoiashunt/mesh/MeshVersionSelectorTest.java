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
import org.sequoiashunt.time.SteppedClock;

class MeshVersionSelectorTest {

    private final MoveTable moves = new MoveTable(SteppedClock.of(1_000));
    private final MeshVersionSelector selector = new MeshVersionSelector(moves, new Random(3));
    private final List<PlacementCandidate> candidates = List.of(candidate("old", "v1"), candidate("new", "v2"));

    private static PlacementCandidate candidate(final String target, final String version) {
        TargetReport report = new TargetReport(target, "desk", version, 4, true, 0, 0, 50, 0, 0, List.of(), 0);
        return new PlacementCandidate("n-" + target, new NodeAddress("127.0.0.1", 5), Distance.DOMAIN, report, 0, 0);
    }

    private void mergeMove(final MoveState state, final int sharePermille) {
        moves.merge(VersionMove.of("desk", "v2", 8, state, sharePermille));
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

    /** Guards against requests to the targets of a bad version that still run when the next move is ordered. */
    @Test
    void versionThatWasRolledBackStaysExcludedAfterTheNextOrder() {
        mergeMove(MoveState.ROLLED_BACK, 0);
        moves.merge(VersionMove.of("desk", "v3", 9, MoveState.RUNNING, 0));
        assertEquals(List.of("old"), filteredTargets(false));
        moves.merge(VersionMove.of("desk", "v2", 10, MoveState.RUNNING, 1_000));
        assertEquals(List.of("new"), filteredTargets(true), "the operator has ordered the version again");
    }

    /** Guards against an outage: a version that was accepted at last must not be excluded by a late report. */
    @Test
    void lateRollbackDoesNotExcludeAVersionThatWasAcceptedLater() {
        moves.merge(VersionMove.of("desk", "v2", 9, MoveState.COMPLETED, 900));
        moves.merge(VersionMove.of("desk", "v3", 10, MoveState.RUNNING, 0));
        mergeMove(MoveState.ROLLED_BACK, 0);
        assertEquals(List.of("old", "new"), filteredTargets(false));
    }

    /** Guards against an outage: when a recorded completion stops the old targets, no node may go on with them. */
    @Test
    void recordedOutcomeReplacesAnotherNodesOutcome() {
        mergeMove(MoveState.ROLLED_BACK, 0);
        mergeMove(MoveState.COMPLETED, 900);
        assertEquals(List.of("old"), filteredTargets(false), "no outcome is recorded");
        moves.merge(VersionMove.of("desk", "v2", 8, MoveState.COMPLETED, 900).asRecorded());
        assertEquals(List.of("new"), filteredTargets(false));
        mergeMove(MoveState.ROLLED_BACK, 0);
        assertEquals(List.of("new"), filteredTargets(false));
    }

    @Test
    void completedMoveSendsAllRequestsToNewVersion() {
        mergeMove(MoveState.COMPLETED, 1_000);
        assertEquals(List.of("new"), filteredTargets(false));
    }

    @Test
    void moveIsReplacedOnlyByMoveThatSupersedesIt() {
        mergeMove(MoveState.RUNNING, 500);
        assertFalse(moves.merge(VersionMove.of("desk", "v2", 8, MoveState.RUNNING, 100)));
        mergeMove(MoveState.ROLLED_BACK, 0);
        assertFalse(moves.merge(VersionMove.of("desk", "v2", 8, MoveState.RUNNING, 900)));
        assertTrue(moves.merge(VersionMove.of("desk", "v3", 9, MoveState.RUNNING, 0)));
    }
}
