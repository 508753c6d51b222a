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

    private static final Candidate SAME_DOMAIN = candidate("near", "a", "north");
    private static final Candidate SAME_REGION = candidate("regional", "b", "north");
    private static final Candidate OTHER_REGION = candidate("remote", "c", "south");

    private final SteppedClock clock = SteppedClock.of(100_000);
    private final TargetSelector selector = new TargetSelector("a", "north", clock, new Random(7));

    @Test
    void targetInSameFailureDomainIsPreferred() {
        assertEquals(Map.of("near", 50), countSelections(List.of(SAME_DOMAIN, SAME_REGION, OTHER_REGION), 50));
    }

    @Test
    void fullFailureDomainUsesTargetsOfSameRegionOnly() {
        countSelections(List.of(SAME_DOMAIN, SAME_REGION, OTHER_REGION), 1);
        selector.recordStart(SAME_DOMAIN);
        selector.recordStart(SAME_DOMAIN);
        Map<String, Integer> picks = countSelections(List.of(SAME_DOMAIN, SAME_REGION, OTHER_REGION), 50);
        assertTrue(picks.get("regional") > 25, picks.toString());
        assertEquals(null, picks.get("remote"));
    }

    @Test
    void otherRegionIsUsedOnlyIfSameRegionHasNoTarget() {
        assertEquals(Map.of("remote", 10), countSelections(List.of(OTHER_REGION), 10));
        assertEquals(
                OTHER_REGION,
                selector.select(List.of(SAME_DOMAIN, OTHER_REGION), Set.of("near/t"))
                        .orElseThrow());
    }

    @Test
    void noTargetIsSelectedIfCandidatesAreEmptyOrExcluded() {
        assertTrue(selector.select(List.of(), Set.of()).isEmpty());
        assertTrue(selector.select(List.of(SAME_DOMAIN), Set.of("near/t")).isEmpty());
    }

    @Test
    void failingTargetIsEjectedTemporarily() {
        Candidate other = candidate("other", "a", "north");
        fail(SAME_DOMAIN, TargetStatistics.EJECTION_FAILURE_COUNT);
        assertEquals(Map.of("other", 50), countSelections(List.of(SAME_DOMAIN, other), 50));
        clock.advance(TargetStatistics.INITIAL_EJECTION_MS);
        assertTrue(countSelections(List.of(SAME_DOMAIN, other), 50).containsKey("near"));
    }

    @Test
    void targetsRemainSelectableIfAllFail() {
        Candidate other = candidate("other", "a", "north");
        fail(SAME_DOMAIN, TargetStatistics.EJECTION_FAILURE_COUNT);
        fail(other, TargetStatistics.EJECTION_FAILURE_COUNT);
        assertEquals(2, countSelections(List.of(SAME_DOMAIN, other), 50).size());
    }

    @Test
    void gateRefusalsDoNotEjectTarget() {
        for (int refusal = 0; refusal < 20; refusal++) {
            selector.recordStart(SAME_DOMAIN);
            selector.recordEnd(SAME_DOMAIN, CallResult.notRun(Reason.QUEUE_FULL));
        }
        assertEquals(0, selector.ejectedCount());
    }

    @Test
    void requestsSpreadEvenlyIfAllTargetsAreNew() {
        Candidate other = candidate("other", "a", "north");
        Map<String, Integer> picks = countSelections(List.of(SAME_DOMAIN, other), 400);
        assertTrue(picks.get("near") > 150 && picks.get("other") > 150, picks.toString());
    }

    @Test
    void shareOfNewTargetGrows() {
        countSelections(List.of(SAME_DOMAIN), 1);
        Candidate fresh = candidate("fresh", "a", "north");
        int early = countSelections(List.of(SAME_DOMAIN, fresh), 400).getOrDefault("fresh", 0);
        clock.advance(TargetStatistics.RAMP_MS);
        countSelections(List.of(SAME_DOMAIN, fresh), 1);
        int late = countSelections(List.of(SAME_DOMAIN, fresh), 400).getOrDefault("fresh", 0);
        assertTrue(early < late, early + " then " + late);
    }

    private void fail(final Candidate candidate, final int times) {
        for (int failure = 0; failure < times; failure++) {
            selector.recordStart(candidate);
            selector.recordEnd(candidate, CallResult.unknown(Reason.CONNECTION_FAILED));
        }
    }

    private Map<String, Integer> countSelections(final List<Candidate> candidates, final int times) {
        Map<String, Integer> selections = new HashMap<>();
        for (int attempt = 0; attempt < times; attempt++) {
            Candidate selected = selector.select(candidates, Set.of()).orElseThrow();
            selections.merge(selected.node(), 1, Integer::sum);
        }
        return selections;
    }

    private static Candidate candidate(final String node, final String failureDomain, final String region) {
        return new Candidate(node, new NodeAddress("127.0.0.1", 80), failureDomain, region, "t", "v1", 2);
    }
}
