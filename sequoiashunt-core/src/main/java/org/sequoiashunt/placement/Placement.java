package org.sequoiashunt.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.random.RandomGenerator;
import org.sequoiashunt.fleet.RouteTime;

/**
 * Chooses the target of a call by the lowest expected cost, expressed as the time until the answer.
 *
 * <p>The cost includes the calls in progress, the target's mean time for the route, its warm-up, its failures, the
 * distance and the paid traffic. It handles targets of unequal speed, targets that become slow or fail some of their
 * calls, and services whose load is uneven over failure domains: a far target is chosen when the time that it saves
 * outweighs its traffic, or when it is expected to meet the objective and no nearer one is. Among targets of about
 * equal cost the choice is random, weighted by free slots, so that many nodes with the same reports do not choose the
 * same target.
 *
 * <p>Thread-safe if the random generator is. Invariant: an excluded target is never chosen.
 */
public final class Placement {

    /** Costs this close to the lowest one are equivalent: means and reports half a second old are no more accurate. */
    private static final double EQUIVALENT_COST_MARGIN_MS = 12;

    /** Time that a failed attempt adds, because the call needs a second attempt. */
    private static final double FAILED_ATTEMPT_COST_MS = 400;

    /** Cost of a missed objective, as a multiple of it: more than any traffic, so that a far target is tried first. */
    private static final double MISSED_OBJECTIVE_COST = 2;

    private final RandomGenerator random;

    /**
     * Creates a placement.
     *
     * @param random chooses among targets of equivalent cost, not null.
     */
    public Placement(final RandomGenerator random) {
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Chooses a target.
     *
     * @param candidates the targets that run the requested version of the service, not null.
     * @param need what the call needs, not null.
     * @param excludedTargets the identities of the targets that were already tried for this request, not null.
     * @return the chosen target, or empty if every candidate is excluded or there is none.
     */
    public Optional<PlacementCandidate> choose(
            final List<PlacementCandidate> candidates,
            final PlacementNeed need,
            final Collection<String> excludedTargets) {
        List<PlacementCandidate> comparable = withRouteTimes(candidates, need.route());
        double[] costsMs = new double[comparable.size()];
        double lowestCostMs = Double.MAX_VALUE;
        for (int index = 0; index < costsMs.length; index++) {
            PlacementCandidate candidate = comparable.get(index);
            boolean isExcluded = excludedTargets.contains(candidate.report().target());
            costsMs[index] = isExcluded ? Double.MAX_VALUE : costMs(candidate, need);
            lowestCostMs = Math.min(lowestCostMs, costsMs[index]);
        }
        List<PlacementCandidate> equivalent = new ArrayList<>();
        for (int index = 0; index < costsMs.length; index++) {
            if (costsMs[index] < Double.MAX_VALUE && costsMs[index] <= lowestCostMs + EQUIVALENT_COST_MARGIN_MS) {
                equivalent.add(comparable.get(index));
            }
        }
        return chooseWeightedByFreeSlots(equivalent);
    }

    /**
     * Gives the targets that have not answered calls of the route the mean duration of the fastest one that has, so
     * that a target that has just joined gets calls and is measured. Its mean over other routes says little about this
     * one.
     */
    private static List<PlacementCandidate> withRouteTimes(
            final List<PlacementCandidate> candidates, final String route) {
        OptionalInt fastestMs = candidates.stream()
                .filter(candidate -> candidate.report().hasRouteTime(route))
                .mapToInt(candidate -> candidate.report().meanRouteMs(route))
                .min();
        if (fastestMs.isEmpty()) {
            return candidates;
        }
        RouteTime expected = new RouteTime(route, fastestMs.getAsInt());
        return candidates.stream()
                .map(candidate ->
                        candidate.report().hasRouteTime(route) ? candidate : candidate.withRouteTime(expected))
                .toList();
    }

    /**
     * Estimates the cost of a call to a target: expected time to the answer, plus failures, paid traffic and a missed
     * objective as time.
     *
     * @param candidate the target, not null.
     * @param need what the call needs, not null.
     * @return the cost in milliseconds.
     */
    public static double costMs(final PlacementCandidate candidate, final PlacementNeed need) {
        double failureShare = candidate.failureShare();
        double responseMs =
                candidate.expectedResponseMs(need.route()) + need.transfer().expectedMs(candidate.distance());
        double missedObjectiveMs = responseMs > need.remainingMs() ? MISSED_OBJECTIVE_COST * need.objectiveMs() : 0;
        return responseMs
                + candidate.distance().trafficCostShare() * need.objectiveMs() * need.trafficFactor()
                + FAILED_ATTEMPT_COST_MS * failureShare / (1 - failureShare)
                + missedObjectiveMs;
    }

    private Optional<PlacementCandidate> chooseWeightedByFreeSlots(final List<PlacementCandidate> equivalent) {
        int totalWeight = 0;
        for (PlacementCandidate candidate : equivalent) {
            totalWeight += freeSlotWeight(candidate);
        }
        if (totalWeight == 0) {
            return Optional.empty();
        }
        int remainingWeight = random.nextInt(totalWeight);
        for (PlacementCandidate candidate : equivalent) {
            remainingWeight -= freeSlotWeight(candidate);
            if (remainingWeight < 0) {
                return Optional.of(candidate);
            }
        }
        return Optional.empty();
    }

    private static int freeSlotWeight(final PlacementCandidate candidate) {
        return Math.max(1, candidate.report().slots() - candidate.load());
    }
}
