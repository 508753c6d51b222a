package org.sequoiashunt.slot;

/**
 * Smoothed pace of a target's VM: how long work takes at present, in percent of the usual.
 *
 * <p>The VM states it with its answers and it changes many times a second, so that a single reading says little about
 * the next hundred milliseconds. Not thread-safe: the owner guards it by a lock. Invariant: the pace is within
 * {@value #MINIMUM_PERCENT} to {@value #MAXIMUM_PERCENT}.
 */
final class TargetPace {

    /** Pace of work that takes as long as usual. */
    static final int USUAL_PERCENT = 100;

    /** Bounds of a plausible reading: a wrong one must not decide where calls go. */
    static final int MINIMUM_PERCENT = 25;

    static final int MAXIMUM_PERCENT = 1_000;

    /** Age at which a reading has lost most of its weight: a VM is slow for about 600 ms at a time. */
    private static final double DECAY_MS = 600;

    /** Time over which readings are averaged: a fraction of the time for which a VM stays slow. */
    private static final double SMOOTHING_MS = 100;

    /** Age after which nothing is stated: the pace was that of another time. */
    private static final long VALIDITY_MS = 2_000;

    private double percent = USUAL_PERCENT;
    private long readAtMs = -1;

    /** Records a reading; one that states no pace is ignored. */
    void record(final int readPercent, final long nowMs) {
        if (readPercent <= 0) {
            return;
        }
        double bounded = Math.max(MINIMUM_PERCENT, Math.min(MAXIMUM_PERCENT, readPercent));
        // Readings of the same moment are averaged with a small weight instead of being ignored.
        double weight = readAtMs < 0 ? 1 : 1 - Math.exp(-Math.max(1, nowMs - readAtMs) / SMOOTHING_MS);
        percent += weight * (bounded - percent);
        readAtMs = nowMs;
    }

    /** Returns the pace expected at a time, which nears the usual one with the age of the latest reading. */
    double expectedPercent(final long nowMs) {
        return readAtMs < 0
                ? USUAL_PERCENT
                : USUAL_PERCENT + (percent - USUAL_PERCENT) * Math.exp(-Math.max(0, nowMs - readAtMs) / DECAY_MS);
    }

    /** Returns the pace for a report, zero if there is no reading that is young enough. */
    int reportedPercent(final long nowMs) {
        return readAtMs < 0 || nowMs - readAtMs > VALIDITY_MS ? 0 : (int) Math.round(expectedPercent(nowMs));
    }
}
