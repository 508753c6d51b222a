package org.sequoiashunt.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collections;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.blackboard.Blackboard;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.EntryVersion;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.configuration.Move;

class EvidenceTrackerTest {

    private final Move move = new Move(RolloutFixture.OLD_VERSION, RolloutFixture.NEW_VERSION, 1);
    private final EvidenceTracker tracker = new EvidenceTracker(RolloutFixture.SERVICE, move);
    private final Blackboard blackboard = new Blackboard();

    @Test
    void treatsCountsOfFirstReadAsBaseline() {
        merge(1, 1, 100);
        assertEquals(0, addedRequests());

        merge(1, 2, 130);

        assertEquals(30, addedRequests());
    }

    @Test
    void countsRestartedNodeFromZero() {
        merge(1, 1, 100);
        addedRequests();
        merge(2, 1, 7);

        assertEquals(7, addedRequests());
    }

    @Test
    void countsReorderedAndRepeatedEntriesOnce() {
        addedRequests();
        merge(1, 2, 20);
        merge(1, 1, 10);
        merge(1, 2, 20);

        assertEquals(20, addedRequests());
        assertEquals(0, addedRequests());
    }

    @Test
    void omitsNodesWithoutRecentEvidence() {
        merge(1, 1, 100);
        tracker.addedSinceLastCall(blackboard.entries(Section.EVIDENCE), 1_000);

        assertEquals(Set.of("node-1"), tracker.nodesUpdatedSince(1_000));
        assertTrue(tracker.nodesUpdatedSince(1_001).isEmpty());
    }

    private void merge(final long incarnation, final long sequence, final long requests) {
        List<Long> buckets = Collections.nCopies(Evidence.BUCKETS, 0L);
        Evidence evidence = new Evidence(
                "node-1",
                RolloutFixture.SERVICE,
                RolloutFixture.NEW_VERSION,
                RolloutFixture.ROUTE,
                requests,
                0,
                buckets);
        blackboard.merge(Entry.of(evidence.name(), "node-1", EntryVersion.of(incarnation, sequence), evidence));
    }

    private long addedRequests() {
        return tracker.addedSinceLastCall(blackboard.entries(Section.EVIDENCE), 0)
                .requests(RolloutFixture.NEW_VERSION);
    }
}
