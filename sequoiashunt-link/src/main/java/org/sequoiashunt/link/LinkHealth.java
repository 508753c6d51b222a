package org.sequoiashunt.link;

/**
 * Decides whether the peer of a link has gone silent.
 *
 * <p>A link is watched only while something is awaited on it: a call is in flight, or something was sent and nothing
 * has come since. An idle link costs no bytes. Call {@link #decide} several times within a ping interval.
 *
 * <p>Confined to the thread of the link. Invariant: time during which this process itself did not run is never counted
 * as silence of the peer.
 */
final class LinkHealth {

    private final long pingIntervalMs;
    private final long silenceLimitMs;
    private boolean sentSinceReceived;
    private boolean watched;
    private long quietSinceMs;
    private long lastPingMs;
    private long lastDecisionMs;

    LinkHealth(final LinkLimits limits, final long nowMs) {
        this.pingIntervalMs = limits.pingIntervalMs();
        this.silenceLimitMs = limits.silenceLimitMs();
        this.quietSinceMs = nowMs;
        this.lastPingMs = nowMs;
        this.lastDecisionMs = nowMs;
    }

    void sent() {
        sentSinceReceived = true;
    }

    void received(final long nowMs) {
        sentSinceReceived = false;
        quietSinceMs = nowMs;
    }

    /**
     * Decides what to do now.
     *
     * @param nowMs the time.
     * @param callsInFlight whether an answer to a call is awaited.
     * @return what to do, never null.
     */
    LinkStatus decide(final long nowMs, final boolean callsInFlight) {
        boolean awaited = callsInFlight || sentSinceReceived;
        boolean pausedSelf = nowMs - lastDecisionMs >= pingIntervalMs;
        if (awaited && !watched || pausedSelf) {
            quietSinceMs = nowMs;
        }
        watched = awaited;
        lastDecisionMs = nowMs;
        if (!awaited) {
            return LinkStatus.HEALTHY;
        }
        long quietMs = nowMs - quietSinceMs;
        if (quietMs >= silenceLimitMs) {
            return LinkStatus.SILENT;
        }
        return isPingDue(nowMs, quietMs) ? LinkStatus.PING : LinkStatus.HEALTHY;
    }

    private boolean isPingDue(final long nowMs, final long quietMs) {
        if (quietMs < pingIntervalMs || nowMs - lastPingMs < pingIntervalMs) {
            return false;
        }
        lastPingMs = nowMs;
        return true;
    }

    /** What to do with a link. Immutable and thread-safe. */
    enum LinkStatus {
        /** Nothing is to be done. */
        HEALTHY,
        /** The peer is to be asked for a sign of life. */
        PING,
        /** The connection is to be replaced. */
        SILENT
    }
}
