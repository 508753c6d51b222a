package org.sequoiashunt.placement;

import java.util.Collection;
import java.util.List;
import org.sequoiashunt.fleet.RouteTime;
import org.sequoiashunt.fleet.TargetReport;

/**
 * Expected costs of one call at each candidate, for the policies of placement.
 *
 * <p>Targets that have not answered calls of the route are given the mean duration of the fastest one that has, so that
 * a target that has just joined gets calls and is measured. Its mean over other routes says little about this one.
 *
 * <p>Confined to one thread. Invariant: an excluded candidate costs {@link #EXCLUDED}.
 */
final class PlacementCosts {

    /** Cost of a target that was already tried for the request. */
    static final double EXCLUDED = Double.MAX_VALUE;

    /** Time that a failed attempt adds, because the call needs a second attempt. */
    private static final double FAILED_ATTEMPT_COST_MS = 400;

    /** Cost of a missed objective, as a multiple of it: more than any traffic, so that a far target is tried first. */
    private static final double MISSED_OBJECTIVE_COST = 2;

    /** Time after which a stated pace has lost most of its weight: a VM is slow for about 600 ms at a time. */
    private static final double PACE_DECAY_MS = 600;

    private static final double PERCENT = 100;

    private final List<PlacementCandidate> candidates;
    private final PlacementNeed need;
    private final Collection<String> excludedTargets;
    private final double[] routeMs;
    private final int fastestRouteMs;
    /** Loads that are expected now, null until a policy asks for them. */
    private double[] expectedLoads;

    /** How many times as long work is expected to take now as usually, null until a policy asks for it. */
    private double[] paceFactors;

    PlacementCosts(
            final List<PlacementCandidate> candidates,
            final PlacementNeed need,
            final Collection<String> excludedTargets) {
        this.candidates = candidates;
        this.need = need;
        this.excludedTargets = excludedTargets;
        this.routeMs = new double[candidates.size()];
        this.fastestRouteMs = fillRouteTimes();
    }

    private int fillRouteTimes() {
        int fastestMs = Integer.MAX_VALUE;
        for (int index = 0; index < routeMs.length; index++) {
            routeMs[index] = -1;
            for (RouteTime time : candidates.get(index).report().routeTimes()) {
                if (time.route().equals(need.route())) {
                    routeMs[index] = time.meanMs();
                    fastestMs = Math.min(fastestMs, time.meanMs());
                    break;
                }
            }
        }
        boolean measured = fastestMs < Integer.MAX_VALUE;
        for (int index = 0; index < routeMs.length; index++) {
            if (routeMs[index] < 0) {
                routeMs[index] =
                        measured ? fastestMs : candidates.get(index).report().meanMs();
            }
        }
        return measured ? fastestMs : -1;
    }

    /** Returns the shortest mean duration of the route at a candidate in milliseconds, -1 if none has answered it. */
    int fastestRouteMs() {
        return fastestRouteMs;
    }

    int size() {
        return routeMs.length;
    }

    PlacementCandidate candidate(final int index) {
        return candidates.get(index);
    }

    /** Returns the mean duration of the call's route at a candidate, in milliseconds, at its usual pace. */
    double routeMs(final int index) {
        return routeMs[index];
    }

    /**
     * Returns the part of the service time at a candidate that is no delay, in milliseconds: the usual one, or the
     * expected one if that is shorter.
     */
    double undelayedMs(final int index) {
        return routeMs[index] * Math.min(1, paceFactors()[index]);
    }

    double objectiveMs() {
        return need.objectiveMs();
    }

    private boolean isExcluded(final int index) {
        return !excludedTargets.isEmpty()
                && excludedTargets.contains(candidates.get(index).report().target());
    }

    /** Returns the costs by the loads that the gates have reported, in milliseconds. */
    double[] reported() {
        double[] costs = new double[size()];
        for (int index = 0; index < costs.length; index++) {
            costs[index] = isExcluded(index)
                    ? EXCLUDED
                    : costMs(index, candidates.get(index).load(), routeMs[index]);
        }
        return costs;
    }

    /** Returns the costs by the loads and paces that are expected now, in milliseconds. */
    double[] expected() {
        double[] loads = expectedLoads();
        double[] factors = paceFactors();
        double[] costs = new double[size()];
        for (int index = 0; index < costs.length; index++) {
            costs[index] = isExcluded(index) ? EXCLUDED : costMs(index, loads[index], routeMs[index] * factors[index]);
        }
        return costs;
    }

    /**
     * Returns the loads that are expected now. Of the calls that a report counts, those that are expected to have ended
     * since are replaced by as many as the targets at that distance have on average: the other entries have sent calls
     * since, too.
     */
    double[] expectedLoads() {
        if (expectedLoads == null) {
            expectedLoads = estimateLoads();
        }
        return expectedLoads;
    }

    private double[] estimateLoads() {
        double[] sumOfLoads = new double[Distance.values().length];
        double[] sumOfSlots = new double[sumOfLoads.length];
        for (PlacementCandidate candidate : candidates) {
            int distance = candidate.distance().ordinal();
            sumOfLoads[distance] +=
                    candidate.report().running() + candidate.report().waiting();
            sumOfSlots[distance] += candidate.report().slots();
        }
        double[] loads = new double[size()];
        for (int index = 0; index < loads.length; index++) {
            PlacementCandidate candidate = candidates.get(index);
            TargetReport report = candidate.report();
            int distance = candidate.distance().ordinal();
            double kept = Math.exp(-candidate.reportAgeMs() / (double) Math.max(1, report.meanMs()));
            double usual = report.slots() * sumOfLoads[distance] / sumOfSlots[distance];
            loads[index] = (report.running() + report.waiting()) * kept
                    + usual * (1 - kept)
                    + candidate.callsSentSinceReport();
        }
        return loads;
    }

    private double[] paceFactors() {
        if (paceFactors == null) {
            paceFactors = new double[size()];
            for (int index = 0; index < paceFactors.length; index++) {
                paceFactors[index] = paceFactor(index);
            }
        }
        return paceFactors;
    }

    /** Returns how many times as long work is expected to take now as usually; 1 if the gate has stated no pace. */
    private double paceFactor(final int index) {
        PlacementCandidate candidate = candidates.get(index);
        int pacePercent = candidate.report().pacePercent();
        if (pacePercent <= 0) {
            return 1;
        }
        return 1 + (pacePercent / PERCENT - 1) * Math.exp(-candidate.reportAgeMs() / PACE_DECAY_MS);
    }

    private double costMs(final int index, final double load, final double serviceMs) {
        PlacementCandidate candidate = candidates.get(index);
        double failureShare = candidate.failureShare();
        double responseMs =
                candidate.expectedResponseMs(load, serviceMs) + need.transfer().expectedMs(candidate.distance());
        double missedObjectiveMs = responseMs > need.remainingMs() ? MISSED_OBJECTIVE_COST * need.objectiveMs() : 0;
        return responseMs
                + candidate.distance().trafficCostShare() * need.objectiveMs() * need.trafficFactor()
                + FAILED_ATTEMPT_COST_MS * failureShare / (1 - failureShare)
                + missedObjectiveMs;
    }
}
