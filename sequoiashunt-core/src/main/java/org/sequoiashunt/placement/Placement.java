package org.sequoiashunt.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the target for a call by the time at which its answer is expected.
 *
 * <p>Answers targets of unequal speed, targets that turn slow or fail in part, and services whose load is uneven over
 * failure domains: work in progress, the target's own time for the route, its warm-up, the distance, and the paid
 * traffic count; a far target is chosen when the wait that it saves is worth its traffic. Among targets that are about
 * as good, chance decides by free slots, so that many nodes with the same reports do not choose the same target.
 *
 * <p>Thread-safe if the source of chance is. Invariant: a target is never chosen if it was excluded.
 */
public final class Placement {

    /** Estimates that differ by less than this are equal: the noise of means and of reports half a second old. */
    private static final double EQUAL_MS = 12;

    /** Time that a failed attempt costs, for the second attempt. */
    private static final double FAILURE_COST_MS = 400;

    private final RandomGenerator random;

    /**
     * Creates a placement.
     *
     * @param random source of chance, not null.
     */
    public Placement(final RandomGenerator random) {
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Chooses a target.
     *
     * @param candidates the targets that run the service in the version wanted, not null.
     * @param route the name of the route, not null.
     * @param trafficFactor how many times as much traffic as an ordinary call this one makes.
     * @param excluded the identities of targets that have had this request, not null.
     * @return the choice, or empty if there is none.
     */
    public Optional<PlacementCandidate> choose(
            final List<PlacementCandidate> candidates,
            final String route,
            final double trafficFactor,
            final Collection<String> excluded) {
        double[] costs = new double[candidates.size()];
        double leastMs = Double.MAX_VALUE;
        for (int index = 0; index < costs.length; index++) {
            PlacementCandidate candidate = candidates.get(index);
            boolean isExcluded = excluded.contains(candidate.report().target());
            costs[index] = isExcluded ? Double.MAX_VALUE : costMs(candidate, route, trafficFactor);
            leastMs = Math.min(leastMs, costs[index]);
        }
        List<PlacementCandidate> equal = new ArrayList<>();
        for (int index = 0; index < costs.length; index++) {
            if (costs[index] < Double.MAX_VALUE && costs[index] <= leastMs + EQUAL_MS) {
                equal.add(candidates.get(index));
            }
        }
        return pickByFreeSlots(equal);
    }

    /**
     * Estimates what a target costs, in time to the answer: failures and paid traffic are turned into time.
     *
     * @param candidate the target, not null.
     * @param route the name of the route, not null.
     * @param trafficFactor how many times as much traffic as an ordinary call this one makes.
     * @return the cost in milliseconds.
     */
    public static double costMs(final PlacementCandidate candidate, final String route, final double trafficFactor) {
        double failures = candidate.failureShare();
        return candidate.finishMs(route)
                + candidate.distance().trafficMs() * trafficFactor
                + FAILURE_COST_MS * failures / (1 - failures);
    }

    private Optional<PlacementCandidate> pickByFreeSlots(final List<PlacementCandidate> equal) {
        int total = 0;
        for (PlacementCandidate candidate : equal) {
            total += weight(candidate);
        }
        if (total == 0) {
            return Optional.empty();
        }
        int point = random.nextInt(total);
        for (PlacementCandidate candidate : equal) {
            point -= weight(candidate);
            if (point < 0) {
                return Optional.of(candidate);
            }
        }
        return Optional.empty();
    }

    private static int weight(final PlacementCandidate candidate) {
        return Math.max(1, candidate.report().slots() - candidate.load());
    }
}
