package org.sequoiashunt.link;

import org.sequoiashunt.link.wire.FrameProto.Freshness;

/**
 * Latest stamp received from the accepting side of a connection, which that side uses to limit the age of calls.
 *
 * <p>Confined to the thread of its link. See {@link FrameAge} for the computation on the accepting side.
 */
final class PeerStamp {

    /**
     * Age after which a new stamp is requested, so that a clock drift of 1,000 ppm changes a frame age by at most 5 ms.
     */
    static final long MAXIMUM_STAMP_AGE_MS = 5_000;

    private long stampMs;
    private long receivedMs;
    private long requestedMs;

    void update(final long newStampMs, final long nowMs) {
        stampMs = newStampMs;
        receivedMs = nowMs;
    }

    /**
     * Returns whether a new stamp must be requested, at most once per maximum stamp age.
     *
     * @param nowMs the current time in milliseconds.
     * @return true if the caller must send a ping.
     */
    boolean requestIfDue(final long nowMs) {
        if (nowMs - Math.max(receivedMs, requestedMs) < MAXIMUM_STAMP_AGE_MS) {
            return false;
        }
        requestedMs = nowMs;
        return true;
    }

    Freshness freshness(final long deadlineMs, final long nowMs) {
        return Freshness.newBuilder()
                .setStamp(stampMs)
                .setStampAgeMs(nowMs - receivedMs)
                .setRemainingMs(Math.max(0, deadlineMs - nowMs))
                .build();
    }
}
