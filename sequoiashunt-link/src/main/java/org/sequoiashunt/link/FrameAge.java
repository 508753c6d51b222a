package org.sequoiashunt.link;

/**
 * Bounds the age of a frame without comparing the clocks of two nodes.
 *
 * <p>The receiver issued a stamp, which is its own time at that moment. The sender tells how long it had held the
 * latest stamp when it sent the frame. What has passed since the stamp was issued, less that time, is at least the time
 * that the frame took. So a frame that waited in a buffer while either process was frozen, or while the path was cut,
 * is known as old.
 *
 * <p>Immutable and thread-safe. Invariant: the bound is never negative.
 *
 * @param upperBoundMs the frame is no older than this, in milliseconds, but for drift between the two clocks.
 */
record FrameAge(long upperBoundMs) {

    /**
     * Computes the bound.
     *
     * @param nowMs the receiver's time.
     * @param stampMs the stamp, as issued by the receiver.
     * @param stampAgeMs how long the sender had held the stamp when it sent the frame.
     * @return the age, never null; a sender that claims to have held the stamp for longer than it exists gives zero.
     */
    static FrameAge of(final long nowMs, final long stampMs, final long stampAgeMs) {
        return new FrameAge(Math.max(0, nowMs - stampMs - stampAgeMs));
    }

    boolean exceeds(final long limitMs) {
        return upperBoundMs > limitMs;
    }

    /**
     * Returns a deadline that is never later than the sender's.
     *
     * @param nowMs the receiver's time.
     * @param remainingMs the time that remained when the frame was sent.
     * @return the deadline in the receiver's time.
     */
    long deadlineMs(final long nowMs, final long remainingMs) {
        return nowMs + remainingMs - upperBoundMs;
    }
}
