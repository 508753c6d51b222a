package org.sequoiashunt.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.CallUrgency;
import org.sequoiashunt.fleet.RouteTime;
import org.sequoiashunt.fleet.TargetReport;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.slot.GateObserver;
import org.sequoiashunt.slot.SlotGate;
import org.sequoiashunt.slot.StatedLoad;
import org.sequoiashunt.slot.WarmupRule;
import org.sequoiashunt.target.TargetAnnouncement;
import org.sequoiashunt.time.SteppedClock;

class PlacementPolicyTest {

    private static final PlacementNeed NEED = new PlacementNeed("r", 1, 627, 627);
    private static final int ENTRIES = 64;
    private static final int SLOTS = 8;
    private static final int USUAL_MS = 100;

    private final Random random = new Random(3);

    private static TargetReport report(final String target, final int load, final int meanMs) {
        List<RouteTime> times = List.of(new RouteTime("r", meanMs));
        return new TargetReport(target, "desk", "v1", SLOTS, true, load, 0, meanMs, 0, 0, times, 0);
    }

    private static TargetReport report(final String target, final int slots, final int load, final int pacePercent) {
        List<RouteTime> times = List.of(new RouteTime("r", 20_000));
        return new TargetReport(target, "desk", "v1", slots, true, load, 0, 20_000, 0, 0, times, pacePercent);
    }

    private static PlacementCandidate candidate(final TargetReport report, final long ageMs, final int ownCalls) {
        NodeAddress address = new NodeAddress("127.0.0.1", 4);
        return new PlacementCandidate("n-" + report.target(), address, Distance.DOMAIN, report, ageMs, ownCalls);
    }

    private String choose(final PlacementPolicy policy, final List<PlacementCandidate> candidates) {
        return choose(policy, candidates, NEED);
    }

    private String choose(
            final PlacementPolicy policy, final List<PlacementCandidate> candidates, final PlacementNeed need) {
        return new Placement(random, () -> policy)
                .choose(candidates, need, Set.of())
                .orElseThrow()
                .report()
                .target();
    }

    /** Returns how many of the entries, each with one call and the same reports, choose the most chosen target. */
    private int mostChosen(final PlacementPolicy policy, final List<PlacementCandidate> candidates) {
        return Collections.max(choices(policy, candidates, NEED).values());
    }

    private Map<String, Integer> choices(
            final PlacementPolicy policy, final List<PlacementCandidate> candidates, final PlacementNeed need) {
        Map<String, Integer> choices = new HashMap<>();
        for (int entry = 0; entry < ENTRIES; entry++) {
            choices.merge(choose(policy, candidates, need), 1, Integer::sum);
        }
        return choices;
    }

    /** Guards against entries that all send to targets of one slot, since idle ones look less busy than a large one. */
    @Test
    void largeTargetIsPreferredToSmallOnesThatOneCallFills() {
        List<PlacementCandidate> candidates = new ArrayList<>(List.of(candidate(report("large", 64, 6, 0), 0, 0)));
        for (int index = 0; index < 8; index++) {
            candidates.add(candidate(report("small" + index, 1, 0, 0), 0, 0));
        }
        int large = choices(PlacementPolicy.EVEN, candidates, NEED).getOrDefault("large", 0);
        assertTrue(large >= ENTRIES - 4, "calls to the large target: " + large);
    }

    /** Guards against herding on the target whose latest reading of its pace was the lowest. */
    @Test
    void paceBelowTheUsualAndSmallDifferencesOfItAttractNoHerd() {
        PlacementNeed need = new PlacementNeed("r", 1, 80_000, 80_000);
        for (int lowest : new int[] {70, 99}) {
            List<PlacementCandidate> candidates = new ArrayList<>();
            for (int index = 0; index < 10; index++) {
                candidates.add(candidate(report("t" + index, SLOTS, 2, index == 0 ? lowest : 101), 0, 0));
            }
            int most = Collections.max(
                    choices(PlacementPolicy.EVEN, candidates, need).values());
            assertTrue(most <= 2 * SLOTS, "calls to one target: " + most);
        }
    }

    /** Guards against a margin longer than a short objective: targets that miss it would equal idle ones. */
    @Test
    void shortCallsAvoidTargetsWhoseQueueMissesTheObjective() {
        List<PlacementCandidate> candidates = new ArrayList<>(List.of(candidate(report("idle", 0, 1), 0, 0)));
        for (int index = 0; index < 4; index++) {
            candidates.add(candidate(report("full" + index, 130, 1), 0, 0));
        }
        PlacementNeed need = new PlacementNeed("r", 1, 10, 10);
        assertEquals(Map.of("idle", ENTRIES), choices(PlacementPolicy.EVEN, candidates, need));
    }

    /** Guards against herding: all entries send their calls to the one target that an old report shows as idle. */
    @Test
    void entriesWithTheSameOldReportsDoNotPileUpOnTheTargetThatWasIdle() {
        List<PlacementCandidate> candidates = new ArrayList<>();
        for (int index = 0; index < 10; index++) {
            candidates.add(candidate(report("t" + index, index == 0 ? 0 : 11, 133), 1_200, 0));
        }
        assertEquals(ENTRIES, mostChosen(PlacementPolicy.LOWEST_COST, candidates));
        int most = mostChosen(PlacementPolicy.EVEN, candidates);
        assertTrue(most <= 2 * SLOTS, "calls to one target: " + most);
    }

    /** Guards against herding on the fastest target, which is overrun while the others idle. */
    @Test
    void entriesSpreadTheirCallsByWhatTargetsCanServe() {
        List<PlacementCandidate> candidates = new ArrayList<>();
        for (int index = 0; index < 10; index++) {
            candidates.add(candidate(report("t" + index, 2, index == 0 ? 83 : 133), 500, 0));
        }
        assertEquals(ENTRIES, mostChosen(PlacementPolicy.LOWEST_COST, candidates));
        int most = mostChosen(PlacementPolicy.EVEN, candidates);
        assertTrue(most <= 2 * SLOTS, "calls to one target: " + most);
    }

    /** Guards against an entry that sends a series of calls to one target before the next report arrives. */
    @Test
    void ownCallsInFlightCount() {
        List<PlacementCandidate> candidates =
                List.of(candidate(report("a", 1, 133), 400, 5), candidate(report("b", 1, 133), 400, 0));
        int ofLowestCost = 0;
        for (int call = 0; call < 200; call++) {
            assertEquals("b", choose(PlacementPolicy.EVEN, candidates));
            ofLowestCost += choose(PlacementPolicy.LOWEST_COST, candidates).equals("a") ? 1 : 0;
        }
        assertTrue(ofLowestCost > 0);
    }

    /**
     * Guards against a target that is shunned for seconds after it was slow for 600 ms: it gets no calls, so that its
     * mean duration stays that of the slow time.
     */
    @Test
    void targetThatWasSlowForAMomentGetsCallsAgain() {
        assertEquals(0, choicesOfRecovered(PlacementPolicy.LOWEST_COST));
        int choices = choicesOfRecovered(PlacementPolicy.EVEN);
        assertTrue(choices > 50, "of 400 calls to four targets: " + choices);
    }

    private int choicesOfRecovered(final PlacementPolicy policy) {
        SteppedClock clock = SteppedClock.of(1_000);
        List<CompletableFuture<CallResult>> runs = new ArrayList<>();
        SlotGate gate = new SlotGate(
                new TargetAnnouncement("t", new NodeAddress("127.0.0.1", 9), "desk", "v1", SLOTS, false, 5, 1, 0),
                new SlotGate.Dependencies(
                        clock,
                        (address, request) -> {
                            runs.add(new CompletableFuture<>());
                            return runs.get(runs.size() - 1);
                        },
                        GateObserver.NO_OP,
                        service -> WarmupRule.NONE,
                        () -> false,
                        () -> policy,
                        route -> false));
        for (int call = 0; call < 40; call++) {
            boolean slow = call >= 30;
            gate.handle(request("c" + call, clock.nowMs() + 5_000));
            clock.advance(slow ? 250 : USUAL_MS);
            gate.recordStatedLoad(new StatedLoad(0, 0, SLOTS, slow ? 250 : 100), 0);
            runs.get(call).complete(CallResult.complete(new CallResponse(200, List.of(), Body.EMPTY)));
        }
        clock.advance(700);
        List<PlacementCandidate> candidates = new ArrayList<>(List.of(candidate(gate.report(), 300, 0)));
        for (int index = 0; index < 3; index++) {
            candidates.add(candidate(report("other" + index, 0, USUAL_MS), 300, 0));
        }
        int choices = 0;
        for (int call = 0; call < 400; call++) {
            choices += choose(policy, candidates).equals("t") ? 1 : 0;
        }
        return choices;
    }

    private static CallRequest request(final String callId, final long deadlineMs) {
        return new CallRequest(
                callId,
                "desk",
                "r",
                "v1",
                "t",
                "GET",
                "/",
                List.of(),
                Body.EMPTY,
                true,
                Optional.empty(),
                deadlineMs,
                new CallUrgency(1, deadlineMs),
                false,
                "");
    }

    /** Guards against a refusal at the entry by a load that was true a second ago. */
    @Test
    void chosenTargetHasTheExpectedLoad() {
        List<PlacementCandidate> candidates = new ArrayList<>();
        for (int index = 0; index < 4; index++) {
            candidates.add(candidate(report("t" + index, index == 0 ? 32 : 0, 50), 1_400, 0));
        }
        for (int call = 0; call < 100; call++) {
            PlacementCandidate chosen = new Placement(random, () -> PlacementPolicy.EVEN)
                    .choose(candidates, NEED, Set.of())
                    .orElseThrow();
            assertEquals(SLOTS, chosen.load());
        }
    }

    @Test
    void noPolicyChoosesAnExcludedTargetOrFailsWithoutTargets() {
        List<PlacementCandidate> candidates =
                List.of(candidate(report("a", 0, 50), 0, 0), candidate(report("b", 60, 500), 0, 0));
        for (PlacementPolicy policy : PlacementPolicy.values()) {
            Placement placement = new Placement(random, () -> policy);
            assertTrue(placement.choose(List.of(), NEED, Set.of()).isEmpty(), policy.name());
            assertTrue(placement.choose(candidates, NEED, Set.of("a", "b")).isEmpty(), policy.name());
            for (int call = 0; call < 50; call++) {
                String chosen = placement
                        .choose(candidates, NEED, Set.of("a"))
                        .orElseThrow()
                        .report()
                        .target();
                assertEquals("b", chosen, policy.name());
            }
        }
    }

    @Test
    void namesAreThoseOfTheSettings() {
        for (PlacementPolicy policy : PlacementPolicy.values()) {
            assertEquals(policy, PlacementPolicy.of(policy.settingName()));
        }
        assertEquals("lowest-cost", PlacementPolicy.LOWEST_COST.settingName());
        assertThrows(IllegalArgumentException.class, () -> PlacementPolicy.of("EVEN"));
    }
}
