package org.sequoiashunt.lead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;

final class ReplicaNodeTest {

    private static final long CONVERGENCE_MS = 4_000;

    @Test
    void commitIsInForceEverywhereWithinBound() {
        Fleet fleet = Fleet.ready(11, 4, 6);
        fleet.commit(2);
        Optional<Long> tookMs = fleet.cluster.runUntil(() -> fleet.allInForce(2), CONVERGENCE_MS);
        System.out.println("took " + tookMs);
        assertTrue(tookMs.isPresent(), "not in force everywhere");
    }

    @Test
    void lossDelayAndRepetitionDoNotStopCommit() {
        Fleet fleet = Fleet.ready(12, 4, 6);
        fleet.cluster.network().setFaults(0.2, 0.2, 50);
        fleet.commit(2);
        Optional<Long> tookMs = fleet.cluster.runUntil(() -> fleet.allInForce(2), CONVERGENCE_MS);
        System.out.println("took " + tookMs);
        assertTrue(tookMs.isPresent(), "not in force everywhere");
    }

    @Test
    void deadMemberDisappearsEverywhere() {
        Fleet fleet = Fleet.ready(13, 4, 6);
        String dead = fleet.names(0).get(3);
        fleet.cluster.kill(dead);
        Optional<Long> tookMs = fleet.cluster.runUntil(() -> fleet.allCount(fleet.cluster.nodes(), 23), 15_000);
        System.out.println("took " + tookMs);
        assertEquals(23, Fleet.present(fleet.cluster.nodes().iterator().next()));
        assertTrue(tookMs.isPresent());
    }
}
