package org.sequoiashunt.placement;

import java.util.Locale;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Rules by which an entry chooses among the targets of a service, from reports that are up to 1.5 s old while many
 * other entries choose from the same ones. Immutable and thread-safe.
 */
public enum PlacementPolicy {
    /**
     * The lowest cost by the reported loads; among targets of about equal cost a random one, weighted by free slots.
     */
    LOWEST_COST {
        @Override
        int choose(final PlacementCosts costs, final RandomGenerator random) {
            double[] costsMs = costs.reported();
            double[] weights = new double[costsMs.length];
            double limitMs = lowest(costsMs) + EQUIVALENT_COST_MARGIN_MS;
            int totalWeight = 0;
            for (int index = 0; index < weights.length; index++) {
                if (costsMs[index] < PlacementCosts.EXCLUDED && costsMs[index] <= limitMs) {
                    PlacementCandidate candidate = costs.candidate(index);
                    weights[index] = Math.max(1, candidate.report().slots() - candidate.load());
                    totalWeight += (int) weights[index];
                }
            }
            return totalWeight == 0 ? NONE : draw(weights, random.nextInt(totalWeight));
        }
    },
    /** The cheaper one, by the reported loads, of two that are drawn from all targets. */
    TWO_CHOICES {
        @Override
        int choose(final PlacementCosts costs, final RandomGenerator random) {
            double[] costsMs = costs.reported();
            double[] weights = new double[costsMs.length];
            for (int index = 0; index < weights.length; index++) {
                weights[index] = costsMs[index] < PlacementCosts.EXCLUDED ? 1 : 0;
            }
            return cheaperOfTwo(weights, costsMs, random);
        }
    },
    /** The lowest cost by the loads that are expected now; random among targets of about equal cost. */
    EXPECTED_LOAD {
        @Override
        int choose(final PlacementCosts costs, final RandomGenerator random) {
            double[] loads = costs.expectedLoads();
            double[] costsMs = costs.expected();
            double limitMs = lowest(costsMs) + EQUIVALENT_COST_MARGIN_MS;
            double[] weights = new double[costsMs.length];
            for (int index = 0; index < weights.length; index++) {
                if (costsMs[index] < PlacementCosts.EXCLUDED && costsMs[index] <= limitMs) {
                    weights[index] = Math.max(1, costs.candidate(index).report().slots() - loads[index]);
                }
            }
            return drawOrNone(weights, random);
        }
    },
    /** The target whose gate has offered room last, if it did so just now; otherwise as {@link #LOWEST_COST}. */
    OFFERED_ROOM {
        @Override
        int choose(final PlacementCosts costs, final RandomGenerator random) {
            double[] costsMs = costs.reported();
            double limitMs = lowest(costsMs) + OFFER_COST_MARGIN_MS;
            int youngest = NONE;
            for (int index = 0; index < costsMs.length; index++) {
                PlacementCandidate candidate = costs.candidate(index);
                if (costsMs[index] < PlacementCosts.EXCLUDED
                        && costsMs[index] <= limitMs
                        && candidate.reportAgeMs() <= OFFER_VALIDITY_MS
                        && candidate.load() < candidate.report().slots()
                        && (youngest == NONE
                                || candidate.reportAgeMs()
                                        < costs.candidate(youngest).reportAgeMs())) {
                    youngest = index;
                }
            }
            return youngest == NONE ? LOWEST_COST.choose(costs, random) : youngest;
        }
    },
    /** A random target; the weight of dearer ones grows with the age of the reports. */
    SPREAD_BY_AGE {
        @Override
        int choose(final PlacementCosts costs, final RandomGenerator random) {
            double[] costsMs = costs.reported();
            double lowestMs = lowest(costsMs);
            double[] weights = new double[costsMs.length];
            for (int index = 0; index < weights.length; index++) {
                if (costsMs[index] < PlacementCosts.EXCLUDED) {
                    double spreadMs = EQUIVALENT_COST_MARGIN_MS
                            + SPREAD_PER_MS_OF_AGE * costs.candidate(index).reportAgeMs();
                    weights[index] = Math.exp(-(costsMs[index] - lowestMs) / spreadMs);
                }
            }
            return drawOrNone(weights, random);
        }
    },
    /**
     * Among the targets with room, by the loads and paces that are expected now, the one of two that is less busy with
     * this call; the two are drawn in proportion to the calls that they can serve in a time. The service time itself
     * counts only as far as it is longer than usual: otherwise the fastest targets would be overrun in turns.
     */
    EVEN {
        @Override
        int choose(final PlacementCosts costs, final RandomGenerator random) {
            double[] loads = costs.expectedLoads();
            double[] costsMs = costs.expected();
            double[] busyShares = new double[costsMs.length];
            double[] delaysMs = new double[costsMs.length];
            for (int index = 0; index < delaysMs.length; index++) {
                delaysMs[index] = costsMs[index] == PlacementCosts.EXCLUDED
                        ? PlacementCosts.EXCLUDED
                        : costsMs[index] - costs.undelayedMs(index);
            }
            double limitMs = lowest(delaysMs) + equivalentDelayMs(costs.objectiveMs());
            double[] weights = new double[costsMs.length];
            for (int index = 0; index < weights.length; index++) {
                if (delaysMs[index] < PlacementCosts.EXCLUDED && delaysMs[index] <= limitMs) {
                    weights[index] = costs.candidate(index).report().slots() / Math.max(1, costs.routeMs(index));
                    // With this call: an idle target of one slot is full then, one of 64 slots is not.
                    busyShares[index] =
                            (loads[index] + 1) / costs.candidate(index).report().slots();
                }
            }
            return cheaperOfTwo(weights, busyShares, random);
        }
    };

    private static final int NONE = -1;

    /** Costs this close to the lowest one are equivalent: means and reports half a second old are no more accurate. */
    private static final double EQUIVALENT_COST_MARGIN_MS = 12;

    /**
     * Delays this close to the lowest one are equivalent. With 12 ms the load experiment served 0.004 to 0.016 less of
     * the worth.
     */
    private static final double EQUIVALENT_DELAY_MARGIN_MS = 40;

    /** Part of the objective that the margin does not exceed: a target that misses a short one is not equivalent. */
    private static final double LARGEST_MARGIN_SHARE = 1 / 3.0;

    /**
     * Part of the objective that the margin reaches: the pace of a VM, which is stated in percent, differs by that much
     * between targets that are equally fast. The margin is 40 ms for objectives from 120 to 2,000 ms.
     */
    private static final double SMALLEST_MARGIN_SHARE = 1 / 50.0;

    private static final double OFFER_COST_MARGIN_MS = 60;
    private static final long OFFER_VALIDITY_MS = 150;
    private static final double SPREAD_PER_MS_OF_AGE = 0.1;

    /**
     * Chooses a candidate.
     *
     * @return its index, or -1 if there is none that is not excluded.
     */
    abstract int choose(PlacementCosts costs, RandomGenerator random);

    /**
     * Returns whether gates report the durations of calls at the usual pace of their VM, and its pace apart from them.
     *
     * @return false if they report the durations as measured.
     */
    public boolean separatesPace() {
        return this == EVEN;
    }

    /** Returns whether choices are made by the loads that are expected now, not by the reported ones. */
    boolean expectsLoad() {
        return this == EXPECTED_LOAD || this == EVEN;
    }

    /**
     * Returns the name of the policy in settings.
     *
     * @return the name in lower case with hyphens, never null.
     */
    public String settingName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Finds the policy with a name.
     *
     * @param name the name as in settings, not null.
     * @return the policy, never null.
     * @throws IllegalArgumentException if there is none; the message lists the names.
     */
    public static PlacementPolicy of(final String name) {
        Objects.requireNonNull(name, "name");
        StringBuilder names = new StringBuilder();
        for (PlacementPolicy policy : values()) {
            if (policy.settingName().equals(name)) {
                return policy;
            }
            names.append(names.isEmpty() ? "" : ", ").append(policy.settingName());
        }
        throw new IllegalArgumentException("unknown value '" + name + "', known are " + names);
    }

    private static double lowest(final double[] costsMs) {
        double lowestMs = PlacementCosts.EXCLUDED;
        for (double costMs : costsMs) {
            lowestMs = Math.min(lowestMs, costMs);
        }
        return lowestMs;
    }

    private static double equivalentDelayMs(final double objectiveMs) {
        return Math.max(
                SMALLEST_MARGIN_SHARE * objectiveMs,
                Math.min(LARGEST_MARGIN_SHARE * objectiveMs, EQUIVALENT_DELAY_MARGIN_MS));
    }

    private static int cheaperOfTwo(final double[] weights, final double[] costs, final RandomGenerator random) {
        int first = drawOrNone(weights, random);
        if (first == NONE) {
            return NONE;
        }
        double firstWeight = weights[first];
        weights[first] = 0;
        int second = drawOrNone(weights, random);
        weights[first] = firstWeight;
        return second == NONE || costs[first] <= costs[second] ? first : second;
    }

    private static int drawOrNone(final double[] weights, final RandomGenerator random) {
        double total = 0;
        for (double weight : weights) {
            total += weight;
        }
        return total <= 0 ? NONE : draw(weights, random.nextDouble() * total);
    }

    /** Returns the index at which the sum of the weights exceeds a number that is below their total. */
    private static int draw(final double[] weights, final double drawn) {
        double remaining = drawn;
        int last = NONE;
        for (int index = 0; index < weights.length; index++) {
            if (weights[index] > 0) {
                last = index;
                remaining -= weights[index];
                if (remaining < 0) {
                    return index;
                }
            }
        }
        return last;
    }
}
