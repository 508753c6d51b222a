package org.sequoiashunt.link;

/**
 * Follows the bytes that arrive on one connection, to find a frame that never ends.
 *
 * <p>Confined to the thread of the connection.
 */
final class PartialFrameMonitor {

    private final long frameTimeoutMs;
    private long pendingBytes;
    private long pendingSinceMs;
    private long lastReadMs;

    PartialFrameMonitor(final long frameTimeoutMs, final long nowMs) {
        this.frameTimeoutMs = frameTimeoutMs;
        this.lastReadMs = nowMs;
    }

    void bytesRead(final int count, final long nowMs) {
        if (pendingBytes == 0) {
            pendingSinceMs = nowMs;
        }
        pendingBytes += count;
        lastReadMs = nowMs;
    }

    void frameRead(final int count, final long nowMs) {
        pendingBytes -= count;
        pendingSinceMs = nowMs;
    }

    /**
     * Returns how many bytes belong to a frame that has not arrived whole.
     *
     * @return the number of bytes.
     */
    long pendingBytes() {
        return pendingBytes;
    }

    long lastReadMs() {
        return lastReadMs;
    }

    boolean isStalled(final long nowMs) {
        return pendingBytes > 0 && nowMs - pendingSinceMs > frameTimeoutMs;
    }
}
