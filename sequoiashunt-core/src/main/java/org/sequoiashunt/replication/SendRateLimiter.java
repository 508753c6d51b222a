package org.sequoiashunt.replication;

/**
 * Bounds how fast a node delivers entries, so that many nodes that start at once do not exhaust the memory and the link
 * of the few that they contact. Entries that are not sent are pulled again later, from other peers.
 *
 * <p>Confined to one thread.
 */
final class SendRateLimiter {

    private static final long BYTES_PER_SECOND = 4_000_000;
    private static final long BURST_BYTES = 2_000_000;
    private static final long SECOND_MS = 1_000;

    private long availableBytes = BURST_BYTES;
    private long refilledMs;

    /** Takes a number of bytes from the budget. Returns false, and takes nothing, if it is used up. */
    boolean tryAcquire(final int bytes, final long nowMs) {
        long gained = Math.max(0, nowMs - refilledMs) * BYTES_PER_SECOND / SECOND_MS;
        if (gained > 0) {
            availableBytes = Math.min(BURST_BYTES, availableBytes + gained);
            refilledMs = nowMs;
        }
        if (availableBytes <= 0) {
            return false;
        }
        availableBytes -= bytes;
        return true;
    }
}
