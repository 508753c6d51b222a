package org.sequoiashunt.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.blackboard.Entry;
import org.sequoiashunt.blackboard.Section;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Reason;

class EvidenceCollectorTest {

    private final RolloutFixture fixture = new RolloutFixture();
    private final RolloutNode node = new RolloutNode(fixture, "node-1", "ha-noi-a", new FakeMoveRegistry(), 3);
    private final EvidenceCollector collector = node.collector;

    @BeforeEach
    void publishConfiguration() {
        fixture.commit(
                node.blackboard,
                1,
                RolloutFixture.configuration(RolloutFixture.START_MS + RolloutFixture.MOVE_DURATION_MS));
        collector.tick();
    }

    @Test
    void publishesCountsAtMostOnceASecond() {
        long entries = 0;
        for (int step = 0; step < 100; step++) {
            node.recordCall(RolloutFixture.NEW_VERSION, 500);
            long before = node.blackboard.changeCount(Section.EVIDENCE);
            fixture.clock.advance(100);
            collector.tick();
            entries += node.blackboard.changeCount(Section.EVIDENCE) - before;
        }

        assertEquals(10, entries);
        assertEquals(100, evidence().requests());
        assertEquals(100, evidence().failures());
    }

    @Test
    void excludesLatenciesOfColdTarget() {
        for (int call = 0; call < 30; call++) {
            node.recordCall(RolloutFixture.NEW_VERSION, 200);
        }
        publish();
        assertEquals(6, latencyCount());

        collector.targetStarted(RolloutFixture.SERVICE, RolloutFixture.NEW_VERSION);
        node.recordCall(RolloutFixture.NEW_VERSION, 200);
        publish();

        assertEquals(6, latencyCount());
        assertEquals(31, evidence().requests());
    }

    @Test
    void ignoresCallsWithoutEvidenceAboutTarget() {
        for (Reason reason : List.of(Reason.CANCELLED, Reason.DRAINING, Reason.NO_TARGET)) {
            collector.record(
                    RolloutFixture.SERVICE, RolloutFixture.NEW_VERSION, "reserve", CallResult.notRun(reason), 1);
        }
        collector.record(
                RolloutFixture.SERVICE,
                RolloutFixture.NEW_VERSION,
                "reserve",
                CallResult.notRun(Reason.CONNECTION_FAILED),
                1);
        publish();

        assertEquals(1, evidence().requests());
        assertEquals(1, evidence().failures());
    }

    @Test
    void removesEvidenceWhenMoveEndsAndKeepsSequenceIncreasing() {
        node.recordCall(RolloutFixture.NEW_VERSION, 200);
        publish();
        Entry before = node.blackboard.entries(Section.EVIDENCE).get(0);
        fixture.commit(node.blackboard, 2, RolloutFixture.configuration(Optional.empty()));
        collector.tick();
        node.recordCall(RolloutFixture.NEW_VERSION, 200);
        publish();
        assertEquals(List.of(), node.blackboard.entries(Section.EVIDENCE));

        fixture.commit(node.blackboard, 3, RolloutFixture.configuration(RolloutFixture.START_MS + 500_000));
        collector.tick();
        node.recordCall(RolloutFixture.NEW_VERSION, 200);
        publish();

        Entry after = node.blackboard.entries(Section.EVIDENCE).get(0);
        assertTrue(after.version().isNewerThan(before.version()));
        assertEquals(1, evidence().requests());
    }

    private void publish() {
        fixture.clock.advance(EvidenceCollector.PUBLISH_INTERVAL_MS);
        collector.tick();
    }

    private Evidence evidence() {
        return node.blackboard.values(Section.EVIDENCE, Evidence.class).get(0);
    }

    private long latencyCount() {
        return evidence().latencyBuckets().stream().mapToLong(Long::longValue).sum();
    }
}
