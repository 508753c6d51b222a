package org.sequoiashunt.link;

import org.sequoiashunt.link.wire.FrameProto.Freshness;

/**
 * Latest stamp received from the accepting side of a connection, by which that side bounds the age of a call.
 *
 * <p>Confined to the thread of its link. See {@link FrameAge} for the other side.
 */
final class PeerStamp {

    /** A clock drift of 1,000 ppm shifts an age by 5 ms at most. */
    static final long MAXIMUM_STAMP_AGE_MS = 5_000;

    private long stampMs;
    private long receivedMs;
    private long requestedMs;

    void received(final long newStampMs, final long nowMs) {
        stampMs = newStampMs;
        receivedMs = nowMs;
    }

    /**
     * Tells whether a new stamp is to be asked for, at most once per age limit.
     *
     * @param nowMs the time.
     * @return true if the caller is to send a ping.
     */
    boolean isDue(final long nowMs) {
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
