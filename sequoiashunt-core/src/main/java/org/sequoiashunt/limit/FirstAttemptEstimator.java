package org.sequoiashunt.limit;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Estimates how long ago a caller first asked, from the time that it says it has left.
 *
 * <p>Answers the return of refused callers under load: one that comes back states less time than the callers of its
 * route usually do, and its objective counts from its first attempt. The longest times of the latest requests, but for
 * a tenth, are those of first attempts; a caller that states clearly less has been here before.
 *
 * <p>Thread-safe: guarded by its own monitor. Invariants: memory is bounded; before enough requests were seen, no
 * caller is taken for one that comes back.
 */
public final class FirstAttemptEstimator {

    /** First attempts of one route state times that differ by up to 15%, as those of the users do. */
    private static final double FIRST_ATTEMPT_SHARE = 0.84;

    /** Where the times of first attempts lie in the mean, as a share of the longest. */
    private static final double MEAN_SHARE = 0.92;

    /** A tenth of the callers may be more patient than all others. */
    private static final double USUAL_QUANTILE = 0.9;

    /** Requests that are remembered: a second or two of a busy route. */
    private static final int REMEMBERED = 256;

    /** Requests after which the usual time is worked out again. */
    private static final int REFRESH_REQUESTS = 32;

    private static final int MAXIMUM_ROUTES = 1_024;

    private final Map<String, StatedTimes> statedByRoute = new HashMap<>();

    /**
     * Notes a request and estimates how long ago its caller first asked.
     *
     * @param route the name of the route, not null.
     * @param statedMs the time that the caller says it has left, in milliseconds.
     * @return the time since the first attempt, in milliseconds, zero for a first attempt or if it is not known.
     */
    public synchronized long waitedMs(final String route, final long statedMs) {
        Objects.requireNonNull(route, "route");
        if (statedByRoute.size() >= MAXIMUM_ROUTES && !statedByRoute.containsKey(route)) {
            statedByRoute.clear();
        }
        StatedTimes stated = statedByRoute.computeIfAbsent(route, unused -> new StatedTimes());
        stated.note(statedMs);
        return stated.waitedMs(statedMs);
    }

    /** Times stated by the latest callers of one route. Guarded by its owner. */
    private static final class StatedTimes {

        private final long[] latest = new long[REMEMBERED];
        private int noted;
        private long usualMs;

        private void note(final long statedMs) {
            latest[noted % REMEMBERED] = statedMs;
            noted++;
            if (noted % REFRESH_REQUESTS == 0) {
                long[] sorted = Arrays.copyOf(latest, Math.min(noted, REMEMBERED));
                Arrays.sort(sorted);
                usualMs = sorted[(int) (sorted.length * USUAL_QUANTILE)];
            }
        }

        private long waitedMs(final long statedMs) {
            boolean first = statedMs >= usualMs * FIRST_ATTEMPT_SHARE;
            return first ? 0 : Math.round(usualMs * MEAN_SHARE) - statedMs;
        }
    }
}
