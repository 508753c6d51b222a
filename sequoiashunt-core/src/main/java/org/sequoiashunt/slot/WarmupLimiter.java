package org.sequoiashunt.slot;

import java.util.Arrays;

/**
 * Limits the calls that start at a target while it is cold: in any second at most as many as it sustains.
 *
 * <p>A target is cold while it announces so, and for the configured time after it started. Its start time is given by
 * another clock and is not used: a target whose first announcement seen here has a low sequence number counts as
 * started when it joined. A target may cool down between two announcements while it gets no calls; after an idle time
 * it therefore counts as cold until its next announcement.
 *
 * <p>A limiter that is created or gets another rate assumes that the last second was full, since a process before it
 * may have started calls.
 *
 * <p>Not thread-safe: the owner guards it by a lock. Invariant: while the target is cold, no more calls start in any
 * window than its rate allows; calls that started while it was warm count.
 */
final class WarmupLimiter {

    /** Time without a call after which the target may have cooled down since its last announcement. */
    static final long IDLE_MS = 3_000;

    /** Shortest mean time between announcements, which gives the least age of a target by its sequence number. */
    private static final long SHORTEST_ANNOUNCEMENT_PERIOD_MS = 1_000;

    private static final long MS_PER_SECOND = 1_000;

    /** Bound of the start times kept: higher rates are limited to it. */
    private static final int MAXIMUM_STARTS = 4_096;

    /** Bound of the times for which a target is cold, so that sums of times never overflow. */
    private static final long MAXIMUM_COLD_MS = 86_400_000;

    private final long joinedMs;
    private final long firstSequence;
    private WarmupRule rule = WarmupRule.NONE;
    /** Times of the latest starts; the oldest one is at the next index. */
    private long[] startTimesMs = {};

    private int nextIndex;
    private long windowMs;
    private long latestStartMs;
    private long announcedColdUntilMs;
    /** Whether calls started after an idle time and no announcement has arrived since. */
    private boolean unconfirmed;

    WarmupLimiter(final long joinedMs, final long firstSequence) {
        this.joinedMs = joinedMs;
        this.firstSequence = firstSequence;
        this.latestStartMs = joinedMs;
    }

    /** Applies the rule of the target's service; call it before each decision. */
    void apply(final WarmupRule latest, final long nowMs) {
        if (latest.equals(rule)) {
            return;
        }
        if (latest.isLimited() && latest.requestsPerSecond() != rule.requestsPerSecond()) {
            int starts = (int) Math.max(1, Math.min(MAXIMUM_STARTS, Math.floor(latest.requestsPerSecond())));
            windowMs = Math.max(MS_PER_SECOND, (long) Math.ceil(MS_PER_SECOND / latest.requestsPerSecond()));
            startTimesMs = new long[starts];
            Arrays.fill(startTimesMs, nowMs);
            nextIndex = 0;
        }
        rule = latest;
    }

    /** Records what a new announcement says. */
    void announced(final long warmupLeftMs, final long nowMs) {
        announcedColdUntilMs = nowMs + Math.max(0, Math.min(MAXIMUM_COLD_MS, warmupLeftMs));
        unconfirmed = false;
    }

    /** Records that the target got no calls for a reason that may have let it cool down. */
    void interrupted() {
        unconfirmed = true;
    }

    boolean isCold(final long nowMs) {
        return rule.isLimited() && (unconfirmed || warmupLeftMs(nowMs) > 0 || nowMs - latestStartMs >= IDLE_MS);
    }

    /** Returns how long the target is certainly cold, as announced or by its start, in milliseconds. */
    long warmupLeftMs(final long nowMs) {
        boolean mayHaveJustStarted = (firstSequence - 1) * SHORTEST_ANNOUNCEMENT_PERIOD_MS < rule.warmupMs();
        long coldUntilMs = Math.max(
                announcedColdUntilMs, mayHaveJustStarted ? joinedMs + Math.min(MAXIMUM_COLD_MS, rule.warmupMs()) : 0);
        return Math.max(0, coldUntilMs - nowMs);
    }

    /**
     * Returns how long a call has to wait until the limit lets it start.
     *
     * @param callsAhead the number of calls that start before it.
     * @param nowMs the time, in milliseconds.
     * @return the wait in milliseconds, zero if the target is not cold.
     */
    long waitMs(final int callsAhead, final long nowMs) {
        if (!isCold(nowMs)) {
            return 0;
        }
        int fullWindows = callsAhead / startTimesMs.length;
        long freedMs = startTimesMs[(nextIndex + callsAhead) % startTimesMs.length] + windowMs;
        return Math.max(0, Math.max(freedMs, nowMs) + fullWindows * windowMs - nowMs);
    }

    void recordStart(final long nowMs) {
        unconfirmed |= nowMs - latestStartMs >= IDLE_MS;
        latestStartMs = nowMs;
        if (startTimesMs.length > 0) {
            startTimesMs[nextIndex] = nowMs;
            nextIndex = (nextIndex + 1) % startTimesMs.length;
        }
    }

    /** Returns the calls that may start within a window while the target is cold. */
    int startsPerWindow() {
        return startTimesMs.length;
    }

    /** Counts the starts of the last window. */
    int startsInWindow(final long nowMs) {
        int starts = 0;
        for (long startMs : startTimesMs) {
            starts += nowMs - startMs < windowMs ? 1 : 0;
        }
        return starts;
    }

    long windowMs() {
        return windowMs;
    }
}
