package org.sequoiashunt.execution;

import org.sequoiashunt.time.Clock;

/**
 * Notices that this process was paused, so that a request which waited in a buffer meanwhile is not taken for a new
 * one.
 *
 * <p>Thread-safe: one lock. Invariant: a pause is noticed by the first reader after it, tick or not.
 */
final class EntryPauseDetector {

    /** How long after a pause requests may still come out of buffers. */
    private static final long BUFFER_DRAIN_MS = 2_000;

    private final Clock clock;
    private final long longestGapMs;
    private long lastTickMs;
    private long resumedMs;

    /**
     * Creates an observer of a process that runs now.
     *
     * @param clock the time, not null.
     * @param longestGapMs the longest gap between ticks that is not a pause, in milliseconds.
     */
    EntryPauseDetector(final Clock clock, final long longestGapMs) {
        this.clock = clock;
        this.longestGapMs = longestGapMs;
        this.lastTickMs = clock.nowMs();
        this.resumedMs = lastTickMs - BUFFER_DRAIN_MS - 1;
    }

    /** Notes that the process runs. */
    synchronized void tick() {
        detectPause();
        lastTickMs = clock.nowMs();
    }

    /**
     * Tells whether a request read now may have waited through a pause.
     *
     * @return true if so.
     */
    synchronized boolean wasRecentlyPaused() {
        detectPause();
        return clock.nowMs() - resumedMs <= BUFFER_DRAIN_MS;
    }

    private void detectPause() {
        long nowMs = clock.nowMs();
        if (nowMs - lastTickMs > longestGapMs) {
            resumedMs = nowMs;
        }
    }
}
