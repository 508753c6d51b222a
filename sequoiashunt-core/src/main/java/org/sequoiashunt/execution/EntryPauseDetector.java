package org.sequoiashunt.execution;

import org.sequoiashunt.time.Clock;

/**
 * Detects that this process was paused, so that the entry does not treat a request that waited in a buffer during the
 * pause as a new one.
 *
 * <p>Thread-safe: guarded by its own monitor. Invariant: the first call after a pause detects it, whichever method is
 * called.
 */
final class EntryPauseDetector {

    /** How long after a pause buffers may still deliver requests that were received before it. */
    private static final long BUFFER_DRAIN_MS = 2_000;

    private final Clock clock;
    private final long longestGapMs;
    private long lastTickMs;
    private long resumedMs;

    /**
     * Creates a detector; the process counts as running, not as recently paused.
     *
     * @param clock the local clock, not null.
     * @param longestGapMs the longest gap between ticks that is not a pause, in milliseconds.
     */
    EntryPauseDetector(final Clock clock, final long longestGapMs) {
        this.clock = clock;
        this.longestGapMs = longestGapMs;
        this.lastTickMs = clock.nowMs();
        this.resumedMs = lastTickMs - BUFFER_DRAIN_MS - 1;
    }

    /** Records that the process runs. */
    synchronized void tick() {
        detectPause();
        lastTickMs = clock.nowMs();
    }

    /**
     * Returns whether a request that is read now may have been received before a pause.
     *
     * @return true if a pause ended at most two seconds ago.
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
