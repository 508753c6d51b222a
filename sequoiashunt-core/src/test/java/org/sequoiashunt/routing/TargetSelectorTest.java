package org.sequoiashunt.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.time.SteppedClock;

class TargetSelectorTest {

    private static final Candidate NEAR = candidate("near", "a", "north");
    private static final Candidate REGIONAL = candidate("regional", "b", "north");
    private static final Candidate REMOTE = candidate("remote", "c", "south");

    private final SteppedClock clock = SteppedClock.of(100_000);
    private final TargetSelector selector = new TargetSelector("a", "north", clock, new Random(7));

    @Test
    void prefersOwnFailureDomain() {
        assertEquals(Map.of("near", 50), picks(List.of(NEAR, REGIONAL, REMOTE), 50));
    }

    @Test
    void fullFailureDomainSpillsToItsRegionButNotToAnother() {
        picks(List.of(NEAR, REGIONAL, REMOTE), 1);
        selector.started(NEAR);
        selector.started(NEAR);
        Map<String, Integer> picks = picks(List.of(NEAR, REGIONAL, REMOTE), 50);
        assertTrue(picks.get("regional") > 25, picks.toString());
        assertEquals(null, picks.get("remote"));
    }

    @Test
    void usesAnotherRegionOnlyWithoutTargetInItsOwn() {
        assertEquals(Map.of("remote", 10), picks(List.of(REMOTE), 10));
        assertEquals(
                REMOTE, selector.select(List.of(NEAR, REMOTE), Set.of("near/t")).orElseThrow());
    }

    @Test
    void emptyOrFullyExcludedCandidatesGiveNothing() {
        assertTrue(selector.select(List.of(), Set.of()).isEmpty());
        assertTrue(selector.select(List.of(NEAR), Set.of("near/t")).isEmpty());
    }

    @Test
    void failingTargetIsLeftOutForAWhile() {
        Candidate other = candidate("other", "a", "north");
        fail(NEAR, TargetStatistics.EJECTION_FAILURES);
        assertEquals(Map.of("other", 50), picks(List.of(NEAR, other), 50));
        clock.advance(TargetStatistics.EJECTION_BASE_MS);
        assertTrue(picks(List.of(NEAR, other), 50).containsKey("near"));
    }

    @Test
    void serviceWhoseTargetsAllFailIsNotEmptied() {
        Candidate other = candidate("other", "a", "north");
        fail(NEAR, TargetStatistics.EJECTION_FAILURES);
        fail(other, TargetStatistics.EJECTION_FAILURES);
        assertEquals(2, picks(List.of(NEAR, other), 50).size());
    }

    @Test
    void refusalsByTheGateDoNotEject() {
        for (int refusal = 0; refusal < 20; refusal++) {
            selector.started(NEAR);
            selector.ended(NEAR, CallResult.notRun(Reason.QUEUE_FULL));
        }
        assertEquals(0, selector.ejectedCount());
    }

    @Test
    void targetsThatAreAllNewShareEvenly() {
        Candidate other = candidate("other", "a", "north");
        Map<String, Integer> picks = picks(List.of(NEAR, other), 400);
        assertTrue(picks.get("near") > 150 && picks.get("other") > 150, picks.toString());
    }

    @Test
    void targetSeenForTheFirstTimeGetsAGrowingShare() {
        picks(List.of(NEAR), 1);
        Candidate fresh = candidate("fresh", "a", "north");
        int early = picks(List.of(NEAR, fresh), 400).getOrDefault("fresh", 0);
        clock.advance(TargetStatistics.RAMP_MS);
        picks(List.of(NEAR, fresh), 1);
        int late = picks(List.of(NEAR, fresh), 400).getOrDefault("fresh", 0);
        assertTrue(early < late, early + " then " + late);
    }

    private void fail(final Candidate candidate, final int times) {
        for (int failure = 0; failure < times; failure++) {
            selector.started(candidate);
            selector.ended(candidate, CallResult.unknown(Reason.CONNECTION_FAILED));
        }
    }

    private Map<String, Integer> picks(final List<Candidate> candidates, final int times) {
        Map<String, Integer> picks = new HashMap<>();
        for (int pick = 0; pick < times; pick++) {
            Candidate picked = selector.select(candidates, Set.of()).orElseThrow();
            picks.merge(picked.node(), 1, Integer::sum);
        }
        return picks;
    }

    private static Candidate candidate(final String node, final String failureDomain, final String region) {
        return new Candidate(node, new NodeAddress("127.0.0.1", 80), failureDomain, region, "t", "v1", 2);
    }
}
