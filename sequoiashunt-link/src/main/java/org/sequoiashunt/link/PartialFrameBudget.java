package org.sequoiashunt.link;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds the memory for frames that have not arrived whole, over all connections.
 *
 * <p>Thread-safe; all state stands under the lock of this object. Invariant: only a connection whose own share is large
 * is refused, so that one peer's unfinished frames do not cost others their connections.
 */
final class PartialFrameBudget {

    private static final long SMALL_SHARE_BYTES = 65_536;

    private final long limitBytes;
    private final Map<PartialFrameMonitor, Long> shares = new HashMap<>();
    private long totalBytes;

    PartialFrameBudget(final long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /**
     * Notes how much of a connection is pending now.
     *
     * @param progress the progress of the connection.
     * @return false if the connection is to be closed.
     */
    synchronized boolean account(final PartialFrameMonitor progress) {
        long share = progress.pendingBytes();
        Long before = share > SMALL_SHARE_BYTES ? shares.put(progress, share) : shares.remove(progress);
        totalBytes += (share > SMALL_SHARE_BYTES ? share : 0) - (before == null ? 0 : before);
        return share <= SMALL_SHARE_BYTES || totalBytes <= limitBytes;
    }

    synchronized void release(final PartialFrameMonitor progress) {
        Long before = shares.remove(progress);
        totalBytes -= before == null ? 0 : before;
    }
}
