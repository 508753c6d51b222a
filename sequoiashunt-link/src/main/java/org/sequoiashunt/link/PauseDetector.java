package org.sequoiashunt.link;

/**
 * Detects that this process was not running for a while, because it was frozen or got no processor time.
 *
 * <p>Call {@link #check} at a steady interval and before each read. Frames that waited in buffers during a pause are
 * old, and their senders may have given up.
 *
 * <p>Confined to one thread.
 */
final class PauseDetector {

    private final long maximumGapMs;
    private long lastCheckMs;

    PauseDetector(final long limitMs, final long nowMs) {
        this.maximumGapMs = limitMs;
        this.lastCheckMs = nowMs;
    }

    /**
     * Checks for a pause since the last check.
     *
     * @param nowMs the current time in milliseconds.
     * @return true if more than the limit has passed since the last check.
     */
    boolean check(final long nowMs) {
        boolean paused = nowMs - lastCheckMs > maximumGapMs;
        lastCheckMs = nowMs;
        return paused;
    }
}
