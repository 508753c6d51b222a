package org.sequoiashunt.trial.overload;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Counts the requests for each service and the arrivals at its targets beyond the first of each request. Calls of a
 * run that was itself a repetition count as repetitions, as the users' budget has it. Confined to one thread.
 */
final class ArrivalCounts {

    private static final int SLICE_MS = 100;
    private static final int SLICES = 400;

    private final Map<String, long[]> requests = new HashMap<>();
    private final Map<String, long[]> repetitions = new HashMap<>();
    private final Set<String> arrived = new HashSet<>();
    private final Set<String> repeated = new HashSet<>();

    /** Notes a request for a service, whether it arrives or not. */
    void requested(final String service, final long nowMs) {
        count(requests, service, nowMs);
    }

    /**
     * Notes an arrival at a target.
     *
     * @return true if the run that follows counts as a repetition.
     */
    boolean arrived(final String service, final String request, final long nowMs) {
        boolean repetition = !arrived.add(request) || repeated.contains(request);
        if (repetition) {
            count(repetitions, service, nowMs);
        }
        return repetition;
    }

    /** Notes that a request is a call of a run that counts as a repetition. */
    void calledByRepetition(final String request) {
        repeated.add(request);
    }

    private static void count(final Map<String, long[]> counts, final String service, final long nowMs) {
        counts.computeIfAbsent(service, unused -> new long[SLICES])[(int) Math.min(SLICES - 1, nowMs / SLICE_MS)]++;
    }

    /** Returns the largest part of its budget that a service spent in any window; 1 is the whole budget. */
    double mostSpent(final double ratio, final double allowance, final long windowMs) {
        double most = 0;
        int length = (int) (windowMs / SLICE_MS);
        for (Map.Entry<String, long[]> entry : repetitions.entrySet()) {
            long[] asked = requests.getOrDefault(entry.getKey(), new long[SLICES]);
            for (int start = 0; start + length <= SLICES; start++) {
                double budget = ratio * sum(asked, start, length) + allowance;
                most = Math.max(most, sum(entry.getValue(), start, length) / budget);
            }
        }
        return most;
    }

    private static long sum(final long[] counts, final int start, final int length) {
        long sum = 0;
        for (int index = start; index < start + length; index++) {
            sum += counts[index];
        }
        return sum;
    }
}
