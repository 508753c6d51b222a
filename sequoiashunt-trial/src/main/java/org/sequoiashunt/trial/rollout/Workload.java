package org.sequoiashunt.trial.rollout;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Size and traffic of one service in a trial. Immutable and thread-safe.
 *
 * @param service the service.
 * @param targets how many targets each version has.
 * @param slots slots of each target.
 * @param requestsPerSecond the rate over all callers.
 * @param windowMs time from the commit of the move to its finishBy, in milliseconds.
 */
record Workload(String service, int targets, int slots, int requestsPerSecond, long windowMs) {

    private static final int[] RATES = {2, 10, 50, 200, 500};
    private static final long[] WINDOWS_MS = {120_000, 300_000, 600_000};
    private static final List<Workload> SERVICES = List.of(
            new Workload("registry-desk", 6, 20, 1, 1),
            new Workload("press-floor", 4, 20, 1, 1),
            new Workload("sorting-desk", 7, 10, 1, 1),
            new Workload("lot-ledger", 4, 10, 1, 1));

    /**
     * Draws a service of either user, with a rate and a window.
     *
     * @param random the source of chance, not null.
     * @param fixedRate the rate in requests a second, or zero to draw one.
     * @return the workload, never null.
     */
    static Workload draw(final RandomGenerator random, final int fixedRate) {
        Workload size = SERVICES.get(random.nextInt(SERVICES.size()));
        int rate = RATES[random.nextInt(RATES.length)];
        int usedRate = fixedRate > 0 ? fixedRate : rate;
        long windowMs = WINDOWS_MS[random.nextInt(WINDOWS_MS.length)];
        return new Workload(size.service, size.targets, size.slots, usedRate, windowMs);
    }
}
