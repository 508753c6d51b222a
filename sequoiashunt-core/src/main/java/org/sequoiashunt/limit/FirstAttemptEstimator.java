package org.sequoiashunt.limit;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Estimates the time since a request's first attempt from the remaining time that the caller states.
 *
 * <p>Under load, refused callers retry, and their latency objective counts from the first attempt. A retry states less
 * remaining time than first attempts of the same route. The 90th percentile of the latest stated times is taken as the
 * longest time of a usual first attempt; a request that states clearly less is a retry.
 *
 * <p>Thread-safe: guarded by its own monitor. Invariants: memory is bounded; no request of a route is taken for a retry
 * before enough requests of the route were recorded.
 */
public final class FirstAttemptEstimator {

    /**
     * Lowest remaining time of a first attempt as a share of the longest: the times that the users' callers state in
     * first attempts on one route differ by up to 15%.
     */
    private static final double FIRST_ATTEMPT_MINIMUM_RATIO = 0.84;

    /** Mean remaining time of first attempts as a share of the longest. */
    private static final double MEAN_TO_LONGEST_RATIO = 0.92;

    /** Quantile taken as the longest usual time: up to a tenth of the callers may have longer timeouts. */
    private static final double USUAL_QUANTILE = 0.9;

    /** Latest requests kept for each route: one or two seconds of a busy route. */
    private static final int SAMPLE_COUNT = 256;

    /** Requests of a route between two computations of the usual remaining time. */
    private static final int REQUESTS_PER_REFRESH = 32;

    /** Number of routes at which a request on a new route clears the samples of all routes. */
    private static final int MAXIMUM_ROUTES = 1_024;

    private final Map<String, RemainingTimes> remainingTimesByRoute = new HashMap<>();

    /**
     * Records a request and estimates the time since its first attempt.
     *
     * @param route the name of the route, not null.
     * @param remainingMs the remaining time that the caller states, in milliseconds.
     * @return the time since the first attempt, in milliseconds, zero for a first attempt or if there is no estimate.
     */
    public synchronized long recordAndEstimateElapsedMs(final String route, final long remainingMs) {
        Objects.requireNonNull(route, "route");
        if (remainingTimesByRoute.size() >= MAXIMUM_ROUTES && !remainingTimesByRoute.containsKey(route)) {
            remainingTimesByRoute.clear();
        }
        RemainingTimes remainingTimes = remainingTimesByRoute.computeIfAbsent(route, unused -> new RemainingTimes());
        remainingTimes.add(remainingMs);
        return remainingTimes.estimateElapsedMs(remainingMs);
    }

    /** Remaining times stated by the latest requests of one route. Guarded by the estimator's monitor. */
    private static final class RemainingTimes {

        private final long[] samplesMs = new long[SAMPLE_COUNT];
        private int recordedCount;
        private long usualRemainingMs;

        private void add(final long remainingMs) {
            samplesMs[recordedCount % SAMPLE_COUNT] = remainingMs;
            recordedCount++;
            if (recordedCount % REQUESTS_PER_REFRESH == 0) {
                long[] sorted = Arrays.copyOf(samplesMs, Math.min(recordedCount, SAMPLE_COUNT));
                Arrays.sort(sorted);
                usualRemainingMs = sorted[(int) (sorted.length * USUAL_QUANTILE)];
            }
        }

        private long estimateElapsedMs(final long remainingMs) {
            boolean firstAttempt = remainingMs >= usualRemainingMs * FIRST_ATTEMPT_MINIMUM_RATIO;
            return firstAttempt ? 0 : Math.round(usualRemainingMs * MEAN_TO_LONGEST_RATIO) - remainingMs;
        }
    }
}
