package org.sequoiashunt.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.fleet.RouteTime;
import org.sequoiashunt.fleet.TargetReport;
import org.sequoiashunt.peer.NodeAddress;

class PlacementTest {

    private static final long OBJECTIVE_MS = 445;
    private static final PlacementNeed NEED = new PlacementNeed("r", 1, OBJECTIVE_MS, OBJECTIVE_MS);

    private final Placement placement = new Placement(new Random(5));

    private static PlacementCandidate candidate(
            final String target, final Distance distance, final int load, final int meanMs, final int failures) {
        TargetReport report = new TargetReport(
                target, "desk", "v1", 10, true, load, 0, meanMs, failures, 0, List.of(new RouteTime("r", meanMs)), 0);
        return new PlacementCandidate("n-" + target, new NodeAddress("127.0.0.1", 4), distance, report, 0, 0);
    }

    private String choose(final PlacementCandidate... candidates) {
        return choose(List.of(candidates), 1);
    }

    @Test
    void choosesNearTargetWithFreeSlots() {
        assertEquals(
                "near",
                choose(candidate("near", Distance.DOMAIN, 5, 100, 0), candidate("far", Distance.REMOTE, 0, 100, 0)));
    }

    @Test
    void choosesFarTargetWhenNearWaitExceedsTrafficCost() {
        assertEquals(
                "far",
                choose(candidate("near", Distance.DOMAIN, 45, 100, 0), candidate("far", Distance.REMOTE, 0, 100, 0)));
    }

    /** Guards against large bodies that cross slow links while a target near by has a slot: 90 kB take 103 ms. */
    @Test
    void largeBodyChoosesTheNearTargetAndIsExpectedLater() {
        BodyTransfer transfer = new BodyTransfer(7, 90_000);
        List<PlacementCandidate> candidates =
                List.of(candidate("here", Distance.NODE, 5, 150, 0), candidate("other", Distance.DOMAIN, 0, 80, 0));
        assertEquals("other", choose(candidates, 1));
        assertEquals("here", choose(candidates, new PlacementNeed("r", 1, OBJECTIVE_MS, OBJECTIVE_MS, transfer)));
        assertEquals(103, transfer.expectedMs(Distance.DOMAIN), 0.5);
        assertEquals(206, transfer.expectedMs(Distance.REMOTE), 0.5);
        assertEquals(0, new BodyTransfer(0, 90_000).expectedMs(Distance.REMOTE), "the rate is not known");
    }

    /** Guards against a cost without bound, which excludes every target, at a link rate near zero. */
    @Test
    void bodyThatNeverArrivesExcludesNoTarget() {
        BodyTransfer transfer = new BodyTransfer(Double.MIN_VALUE, 4 << 20);
        List<PlacementCandidate> candidates = List.of(candidate("other", Distance.REMOTE, 0, 80, 0));
        for (PlacementPolicy policy : PlacementPolicy.values()) {
            assertTrue(new Placement(new Random(5), () -> policy)
                    .choose(candidates, new PlacementNeed("r", 1, OBJECTIVE_MS, OBJECTIVE_MS, transfer), Set.of())
                    .isPresent());
        }
        assertEquals(0, new BodyTransfer(7, 0).expectedMs(Distance.REMOTE));
    }

    @Test
    void callWithLittleTrafficChoosesFarTarget() {
        List<PlacementCandidate> candidates =
                List.of(candidate("near", Distance.DOMAIN, 19, 100, 0), candidate("far", Distance.REMOTE, 0, 100, 0));
        assertEquals("near", choose(candidates, 1));
        assertEquals("far", choose(candidates, 0.1));
    }

    private String choose(final List<PlacementCandidate> candidates, final double trafficFactor) {
        return choose(candidates, new PlacementNeed("r", trafficFactor, OBJECTIVE_MS, OBJECTIVE_MS));
    }

    private String choose(final List<PlacementCandidate> candidates, final PlacementNeed need) {
        return placement
                .choose(candidates, need, Set.of())
                .orElseThrow()
                .report()
                .target();
    }

    /** Targets of one service differ in speed by a factor of two; answers that cross regions are paid for. */
    @Test
    void slowNearTargetIsChosenWhileItMeetsTheObjective() {
        List<PlacementCandidate> candidates =
                List.of(candidate("slow", Distance.DOMAIN, 2, 925, 0), candidate("fast", Distance.REMOTE, 2, 400, 0));
        assertEquals("slow", choose(candidates, new PlacementNeed("r", 1, 1_500, 1_500)));
        assertEquals("fast", choose(candidates, new PlacementNeed("r", 1, 1_500, 900)), "the near one is too late");
        assertEquals("fast", choose(candidates, new PlacementNeed("r", 1, 445, 445)), "a route with little time");
    }

    @Test
    void callThatMissesItsObjectiveEverywhereChoosesTheNearTarget() {
        List<PlacementCandidate> candidates =
                List.of(candidate("near", Distance.DOMAIN, 2, 500, 0), candidate("far", Distance.REMOTE, 2, 450, 0));
        assertEquals("near", choose(candidates, new PlacementNeed("r", 1, 600, -100)));
    }

    @Test
    void choosesFasterTargetDespiteHigherLoad() {
        assertEquals(
                "fast",
                choose(candidate("slow", Distance.DOMAIN, 0, 160, 0), candidate("fast", Distance.DOMAIN, 6, 70, 0)));
    }

    @Test
    void avoidsTargetWithFailedCalls() {
        assertEquals(
                "sound",
                choose(candidate("grey", Distance.DOMAIN, 0, 60, 450), candidate("sound", Distance.DOMAIN, 9, 100, 0)));
    }

    @Test
    void choosesFailingTargetWhenThereIsNoOther() {
        assertTrue(placement
                .choose(List.of(candidate("grey", Distance.DOMAIN, 0, 60, 1_000)), NEED, Set.of())
                .isPresent());
    }

    @Test
    void equivalentTargetsShareCallsByFreeSlots() {
        int idleChoices = 0;
        for (int call = 0; call < 1_000; call++) {
            idleChoices +=
                    choose(candidate("half", Distance.DOMAIN, 5, 50, 0), candidate("empty", Distance.DOMAIN, 0, 50, 0))
                                    .equals("empty")
                            ? 1
                            : 0;
        }
        assertEquals(667, idleChoices, 60);
    }

    /**
     * A target joins a service whose calls take less than the mean duration that is assumed for it: it was never
     * chosen, so it was never measured.
     */
    @Test
    void targetThatHasJoinedSharesTheCalls() {
        PlacementCandidate joined = candidateWithoutMeasuredCalls("joined", 100, 0);
        PlacementCandidate fast = candidate("fast", Distance.DOMAIN, 0, 45, 0);
        PlacementCandidate slow = candidate("slow", Distance.DOMAIN, 0, 90, 0);
        int joinedChoices = 0;
        for (int call = 0; call < 1_000; call++) {
            joinedChoices += choose(joined, fast, slow).equals("joined") ? 1 : 0;
        }
        assertEquals(500, joinedChoices, 60);
    }

    @Test
    void targetThatWarmsUpGetsNoCallsWhileAnotherIsFree() {
        PlacementCandidate joined = candidateWithoutMeasuredCalls("joined", 100, 3_000);
        for (int call = 0; call < 100; call++) {
            assertEquals("fast", choose(joined, candidate("fast", Distance.DOMAIN, 0, 45, 0)));
        }
    }

    private static PlacementCandidate candidateWithoutMeasuredCalls(
            final String target, final int assumedMeanMs, final long warmupLeftMs) {
        TargetReport report =
                new TargetReport(target, "desk", "v1", 10, true, 0, 0, assumedMeanMs, 0, warmupLeftMs, List.of(), 0);
        return new PlacementCandidate("n-" + target, new NodeAddress("127.0.0.1", 4), Distance.DOMAIN, report, 0, 0);
    }

    @Test
    void neverChoosesAnExcludedTarget() {
        assertTrue(placement
                .choose(List.of(candidate("a", Distance.NODE, 0, 1, 0)), NEED, Set.of("a"))
                .isEmpty());
    }
}
