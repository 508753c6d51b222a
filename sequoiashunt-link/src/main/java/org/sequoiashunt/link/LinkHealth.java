package org.sequoiashunt.link;

/**
 * Decides when to ping the peer of a link and when to replace a connection whose peer is silent.
 *
 * <p>A link is checked only while a response is awaited: a call is in flight, or a frame was sent and nothing has been
 * received since. An idle link sends no pings. Call {@link #decide} several times within a ping interval.
 *
 * <p>Confined to the thread of the link. Invariant: time during which this process was paused is never counted as
 * silence of the peer.
 */
final class LinkHealth {

    /**
     * Factor on the ping interval of a connection that carries only control messages, which get no response: the
     * reports that its peer sends on a connection of its own show as well that it lives.
     */
    private static final int CONTROL_INTERVAL_FACTOR = 2;

    private final long pingIntervalMs;
    private final long silenceTimeoutMs;
    private boolean sentSinceReceived;
    private boolean watched;
    private boolean callsWatched;
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

    void markSent() {
        sentSinceReceived = true;
    }

    void markReceived(final long nowMs) {
        sentSinceReceived = false;
        quietSinceMs = nowMs;
    }

    /**
     * Decides what to do with the connection.
     *
     * @param nowMs the current time in milliseconds.
     * @param callsInFlight whether the result of a call is awaited; without one, pings are less frequent and silence is
     *     noticed one ping interval later.
     * @return the action, never null.
     */
    LinkStatus decide(final long nowMs, final boolean callsInFlight) {
        boolean responseAwaited = callsInFlight || sentSinceReceived;
        boolean processPaused = nowMs - lastDecisionMs >= pingIntervalMs;
        boolean firstCall = callsInFlight && !callsWatched;
        if (responseAwaited && !watched || firstCall || processPaused) {
            quietSinceMs = nowMs;
        }
        watched = responseAwaited;
        callsWatched = callsInFlight;
        lastDecisionMs = nowMs;
        if (!responseAwaited) {
            return LinkStatus.HEALTHY;
        }
        long quietMs = nowMs - quietSinceMs;
        long intervalMs = callsInFlight ? pingIntervalMs : CONTROL_INTERVAL_FACTOR * pingIntervalMs;
        if (quietMs >= silenceTimeoutMs + intervalMs - pingIntervalMs) {
            return LinkStatus.SILENT;
        }
        return isPingDue(nowMs, quietMs, intervalMs) ? LinkStatus.PING : LinkStatus.HEALTHY;
    }

    private boolean isPingDue(final long nowMs, final long quietMs, final long intervalMs) {
        if (quietMs < intervalMs || nowMs - lastPingMs < intervalMs) {
            return false;
        }
        lastPingMs = nowMs;
        return true;
    }

    /** State of a link, which determines the action. Immutable and thread-safe. */
    enum LinkStatus {
        /** No action is needed. */
        HEALTHY,
        /** A ping must be sent to the peer. */
        PING,
        /** The connection must be replaced. */
        SILENT
    }
}
