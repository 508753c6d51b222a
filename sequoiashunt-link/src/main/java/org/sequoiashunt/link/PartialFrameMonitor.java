package org.sequoiashunt.link;

/**
 * Tracks the bytes of an incompletely received frame of one connection, to detect a frame that is not completed.
 *
 * <p>Confined to the thread of the connection.
 */
final class PartialFrameMonitor {

    private final long frameTimeoutMs;
    private long pendingBytes;
    private long bufferBytes;
    private long pendingSinceMs;
    private long lastReadMs;

    PartialFrameMonitor(final long frameTimeoutMs, final long nowMs) {
        this.frameTimeoutMs = frameTimeoutMs;
        this.lastReadMs = nowMs;
    }

    /**
     * Records received bytes.
     *
     * @param count the number of bytes.
     * @param capacity the capacity of their buffer, which is kept while a part of it is pending, in bytes.
     * @param nowMs the current time in milliseconds.
     */
    void bytesRead(final int count, final int capacity, final long nowMs) {
        if (pendingBytes == 0) {
            pendingSinceMs = nowMs;
            bufferBytes = 0;
        }
        bufferBytes = Math.max(bufferBytes, capacity);
        pendingBytes += count;
        lastReadMs = nowMs;
    }

    void frameRead(final int count, final long nowMs) {
        pendingBytes -= count;
        pendingSinceMs = nowMs;
    }

    /**
     * Returns the received bytes of the incomplete frame.
     *
     * @return the number of bytes, zero if no frame is incomplete.
     */
    long pendingBytes() {
        return pendingBytes;
    }

    /**
     * Returns the memory of the incomplete frame.
     *
     * @return the number of bytes, zero if no frame is incomplete.
     */
    long heldBytes() {
        return pendingBytes == 0 ? 0 : Math.max(pendingBytes, bufferBytes);
    }

    long pendingSinceMs() {
        return pendingSinceMs;
    }

    long lastReadMs() {
        return lastReadMs;
    }

    boolean isStalled(final long nowMs) {
        return pendingBytes > 0 && nowMs - pendingSinceMs > frameTimeoutMs;
    }
}
