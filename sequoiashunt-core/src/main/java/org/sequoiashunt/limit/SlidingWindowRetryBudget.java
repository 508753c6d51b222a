package org.sequoiashunt.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.IntSupplier;
import org.sequoiashunt.time.Clock;

/**
 * Limits this node's retries for each service in a sliding window, as its part of a budget that all nodes share.
 *
 * <p>The budget prevents retry storms. The calls that a repeated run makes to another service are retries there too,
 * which nobody can refuse without failing the run; they are charged, so that fewer other retries are allowed. A node
 * has no counts of the other nodes, so each node allows retries in
 * proportion to the requests that it has counted itself, plus an equal part of an allowance that does not depend on
 * load. The part is that of the greatest number of nodes in the window: nodes that
 * are cut off from each other, or that have restarted and know few others yet, must not each take a greater part.
 *
 * <p>Thread-safe: guarded by its own monitor. Invariant: if every node stays within its part, all nodes together stay
 * within the shared budget in every time span of the window's length.
 */
public final class SlidingWindowRetryBudget {

    /** Fraction of the shared budget that is used: the rest covers changes of the node count and windows that lag. */
    private static final double USABLE_FRACTION = 0.7;

    /** Part of the window after the start in which a node may not know the others yet and takes no fixed part. */
    private static final int DISCOVERY_PART_OF_WINDOW = 5;

    /** Number of buckets that a window is divided into. */
    private static final int BUCKET_COUNT = 20;

    private final Clock clock;
    private final Bounds bounds;
    private final IntSupplier nodeCount;
    private final long startMs;
    private final int[] nodesByBucket = new int[BUCKET_COUNT + 1];
    private final Map<String, ServiceCounts> countsByService = new HashMap<>();
    private long latestNodesBucket = -1;

    /**
     * Creates a budget.
     *
     * @param clock the clock, not null.
     * @param bounds the budget that all nodes share, not null.
     * @param nodeCount returns the number of nodes that share the budget, not null; less than one counts as one.
     */
    public SlidingWindowRetryBudget(final Clock clock, final Bounds bounds, final IntSupplier nodeCount) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.bounds = Objects.requireNonNull(bounds, "bounds");
        this.nodeCount = Objects.requireNonNull(nodeCount, "nodeCount");
        this.startMs = clock.nowMs();
    }

    /**
     * Counts a request.
     *
     * @param service the service that the request is for, not null.
     */
    public synchronized void recordRequest(final String service) {
        counts(service).requestsByBucket[currentBucketIndex()]++;
    }

    /**
     * Takes one retry from the budget, if there is one.
     *
     * @param service the service, not null.
     * @return true if the retry is allowed; it is then counted.
     */
    public synchronized boolean tryRetry(final String service) {
        ServiceCounts counts = counts(service);
        double allowedRetries = USABLE_FRACTION * (bounds.ratio() * sum(counts.requestsByBucket) + allowancePart());
        if (sum(counts.retriesByBucket) + 1 > allowedRetries) {
            return false;
        }
        counts.retriesByBucket[currentBucketIndex()]++;
        return true;
    }

    /**
     * Charges a request that a repeated run may have made.
     *
     * @param service the service that the request is for, not null.
     * @param probability the probability that a repeated run has made it, from 0 to 1.
     */
    public synchronized void recordRepeatedCall(final String service, final double probability) {
        if (probability > 0) {
            counts(service).retriesByBucket[currentBucketIndex()] += probability;
        }
    }

    private double allowancePart() {
        boolean knowsFewNodes = clock.nowMs() - startMs < bounds.windowMs() / DISCOVERY_PART_OF_WINDOW;
        if (knowsFewNodes) {
            return 0;
        }
        int greatestCount = 1;
        for (int nodes : nodesByBucket) {
            greatestCount = Math.max(greatestCount, nodes);
        }
        return bounds.allowance() / greatestCount;
    }

    private void recordNodeCount(final long bucket) {
        for (long cleared = Math.max(latestNodesBucket + 1, bucket - BUCKET_COUNT); cleared <= bucket; cleared++) {
            nodesByBucket[(int) (cleared % (BUCKET_COUNT + 1))] = nodeCount.getAsInt();
        }
        latestNodesBucket = Math.max(latestNodesBucket, bucket);
    }

    private ServiceCounts counts(final String service) {
        recordNodeCount(clock.nowMs() * BUCKET_COUNT / bounds.windowMs());
        ServiceCounts counts = countsByService.computeIfAbsent(service, unused -> new ServiceCounts());
        counts.advanceTo(clock.nowMs() * BUCKET_COUNT / bounds.windowMs());
        return counts;
    }

    private int currentBucketIndex() {
        return (int) (clock.nowMs() * BUCKET_COUNT / bounds.windowMs() % (BUCKET_COUNT + 1));
    }

    private static double sum(final double[] buckets) {
        double sum = 0;
        for (double bucket : buckets) {
            sum += bucket;
        }
        return sum;
    }

    /**
     * The retries that all nodes together may make in a window. Immutable and thread-safe.
     *
     * @param ratio the retries allowed for each request, not negative.
     * @param allowance the retries allowed independent of load, not negative.
     * @param windowMs the length of the window, in milliseconds, at least the number of buckets.
     */
    public record Bounds(double ratio, double allowance, long windowMs) {

        /**
         * Checks the components.
         *
         * @throws IllegalArgumentException if a component is negative or the window is too short.
         */
        public Bounds {
            if (ratio < 0 || allowance < 0 || windowMs < BUCKET_COUNT) {
                throw new IllegalArgumentException(
                        "retry budget out of range: ratio " + ratio + ", allowance " + allowance);
            }
        }
    }

    /** Counts of one service in a ring of one bucket more than the window has. Guarded by the budget's monitor. */
    private static final class ServiceCounts {

        private final double[] requestsByBucket = new double[BUCKET_COUNT + 1];
        private final double[] retriesByBucket = new double[BUCKET_COUNT + 1];
        private long latestBucket = -1;

        private void advanceTo(final long bucket) {
            long firstToClear = Math.max(latestBucket + 1, bucket - BUCKET_COUNT);
            for (long cleared = firstToClear; cleared <= bucket; cleared++) {
                requestsByBucket[(int) (cleared % (BUCKET_COUNT + 1))] = 0;
                retriesByBucket[(int) (cleared % (BUCKET_COUNT + 1))] = 0;
            }
            latestBucket = Math.max(latestBucket, bucket);
        }
    }
}
