package org.sequoiashunt.link;

/**
 * Finds that this process was not running for a while: frozen, or starved of its processor.
 *
 * <p>Call {@link #check} at a steady interval and before each read. What waited in buffers during a pause is old, and
 * its senders may have given up.
 *
 * <p>Confined to one thread.
 */
final class PauseDetector {

    private final long limitMs;
    private long lastCheckMs;

    PauseDetector(final long limitMs, final long nowMs) {
        this.limitMs = limitMs;
        this.lastCheckMs = nowMs;
    }

    /**
     * Notes that the process runs.
     *
     * @param nowMs the time.
     * @return true if more than the limit has passed since the last check.
     */
    boolean check(final long nowMs) {
        boolean paused = nowMs - lastCheckMs > limitMs;
        lastCheckMs = nowMs;
        return paused;
    }
}
