package org.sequoiashunt.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.IntSupplier;
import org.sequoiashunt.time.Clock;

/**
 * This node's part of a budget for second attempts that all nodes share in a sliding window, by service.
 *
 * <p>Answers retry storms: no node knows the others' counts, so each one spends a ratio of the requests that it has
 * seen itself, and an equal part of the allowance that does not depend on load.
 *
 * <p>Thread-safe: guarded by its own monitor. Invariant: if every node keeps its part, the sum over all nodes keeps the
 * whole budget in every span of the window's length.
 */
public final class SlidingWindowRetryBudget {

    /** Part of the shared budget that is spent: the rest covers nodes that come and go and windows that lag. */
    private static final double SPENT_PART = 0.7;

    private static final int BUCKETS = 20;

    private final Clock clock;
    private final Bounds bounds;
    private final IntSupplier nodes;
    private final Map<String, Counts> countsByService = new HashMap<>();

    /**
     * Creates a budget.
     *
     * @param clock the clock, not null.
     * @param bounds the budget of all nodes, not null.
     * @param nodes counts the nodes that share it, not null.
     */
    public SlidingWindowRetryBudget(final Clock clock, final Bounds bounds, final IntSupplier nodes) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.bounds = Objects.requireNonNull(bounds, "bounds");
        this.nodes = Objects.requireNonNull(nodes, "nodes");
    }

    /**
     * Counts a request.
     *
     * @param service the service that it is for, not null.
     */
    public synchronized void requested(final String service) {
        counts(service).requests[bucket()]++;
    }

    /**
     * Takes a second attempt from the budget, if there is one left.
     *
     * @param service the service, not null.
     * @return true if the attempt may be made; it then counts as spent.
     */
    public synchronized boolean spend(final String service) {
        Counts counts = counts(service);
        double allowed = SPENT_PART
                * (bounds.ratio() * sum(counts.requests) + bounds.allowance() / Math.max(1, nodes.getAsInt()));
        if (sum(counts.retries) + 1 > allowed) {
            return false;
        }
        counts.retries[bucket()]++;
        return true;
    }

    private Counts counts(final String service) {
        Counts counts = countsByService.computeIfAbsent(service, unused -> new Counts());
        counts.advanceTo(clock.nowMs() * BUCKETS / bounds.windowMs());
        return counts;
    }

    private int bucket() {
        return (int) (clock.nowMs() * BUCKETS / bounds.windowMs() % (BUCKETS + 1));
    }

    private static long sum(final long[] buckets) {
        long sum = 0;
        for (long bucket : buckets) {
            sum += bucket;
        }
        return sum;
    }

    /**
     * The budget of all nodes together. Immutable and thread-safe.
     *
     * @param ratio second attempts for each request.
     * @param allowance second attempts that may be made whatever the load.
     * @param windowMs the length of the window, in milliseconds.
     */
    public record Bounds(double ratio, double allowance, long windowMs) {

        /**
         * Checks the components.
         *
         * @throws IllegalArgumentException if a component is negative or the window is too short.
         */
        public Bounds {
            if (ratio < 0 || allowance < 0 || windowMs < BUCKETS) {
                throw new IllegalArgumentException("budget out of range: " + ratio + ", " + allowance);
            }
        }
    }

    /** Counts of one service in a ring of buckets, one more than the window has. Guarded by the budget. */
    private static final class Counts {

        private final long[] requests = new long[BUCKETS + 1];
        private final long[] retries = new long[BUCKETS + 1];
        private long latest = -1;

        private void advanceTo(final long bucket) {
            long first = Math.max(latest + 1, bucket - BUCKETS);
            for (long cleared = first; cleared <= bucket; cleared++) {
                requests[(int) (cleared % (BUCKETS + 1))] = 0;
                retries[(int) (cleared % (BUCKETS + 1))] = 0;
            }
            latest = Math.max(latest, bucket);
        }
    }
}
