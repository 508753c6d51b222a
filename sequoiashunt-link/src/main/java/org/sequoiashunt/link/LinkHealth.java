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
    private final long silenceTimeoutMs;
    private boolean sentSinceReceived;
    private boolean watched;
    private long quietSinceMs;
    private long lastPingMs;
    private long lastDecisionMs;

    LinkHealth(final LinkLimits limits, final long nowMs) {
        this.pingIntervalMs = limits.pingIntervalMs();
        this.silenceTimeoutMs = limits.silenceTimeoutMs();
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
        boolean responseAwaited = callsInFlight || sentSinceReceived;
        boolean processPaused = nowMs - lastDecisionMs >= pingIntervalMs;
        if (responseAwaited && !watched || processPaused) {
            quietSinceMs = nowMs;
        }
        watched = responseAwaited;
        lastDecisionMs = nowMs;
        if (!responseAwaited) {
            return LinkStatus.HEALTHY;
        }
        long quietMs = nowMs - quietSinceMs;
        if (quietMs >= silenceTimeoutMs) {
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
