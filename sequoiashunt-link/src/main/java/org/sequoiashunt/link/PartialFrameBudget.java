package org.sequoiashunt.link;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the memory for incompletely received frames of all connections.
 *
 * <p>Thread-safe; all state is guarded by the lock of this object. Invariant: only a connection with many pending bytes
 * is refused, so that incomplete frames of one peer do not close the connections of others.
 */
final class PartialFrameBudget {

    private static final long EXEMPT_PENDING_BYTES = 65_536;

    private final long maximumBytes;
    private final Map<PartialFrameMonitor, Long> largePendingBytes = new HashMap<>();
    private long totalBytes;

    PartialFrameBudget(final long maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    /**
     * Updates the pending bytes of a connection.
     *
     * @param partialFrameMonitor the monitor of the connection.
     * @return false if the connection must be closed because the limit is exceeded.
     */
    synchronized boolean update(final PartialFrameMonitor partialFrameMonitor) {
        long pendingBytes = partialFrameMonitor.pendingBytes();
        Long previousBytes = pendingBytes > EXEMPT_PENDING_BYTES
                ? largePendingBytes.put(partialFrameMonitor, pendingBytes)
                : largePendingBytes.remove(partialFrameMonitor);
        totalBytes +=
                (pendingBytes > EXEMPT_PENDING_BYTES ? pendingBytes : 0) - (previousBytes == null ? 0 : previousBytes);
        return pendingBytes <= EXEMPT_PENDING_BYTES || totalBytes <= maximumBytes;
    }

    synchronized void remove(final PartialFrameMonitor partialFrameMonitor) {
        Long previousBytes = largePendingBytes.remove(partialFrameMonitor);
        totalBytes -= previousBytes == null ? 0 : previousBytes;
    }
}
