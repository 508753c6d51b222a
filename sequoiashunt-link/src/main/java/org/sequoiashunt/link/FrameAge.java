package org.sequoiashunt.link;

/**
 * Upper bound of the age of a received frame, computed without comparing the clocks of two nodes.
 *
 * <p>The receiver issues a stamp, which is its clock reading. The sender states in each frame how long it had held the
 * latest stamp when it sent the frame. The time since the stamp was issued minus that holding time is at least the
 * transfer time of the frame. This detects frames that waited in a buffer while a process was frozen or the network
 * was interrupted.
 *
 * <p>Immutable and thread-safe. Invariant: the bound is never negative.
 *
 * @param upperBoundMs maximum age of the frame in milliseconds, except for drift between the two clocks.
 */
record FrameAge(long upperBoundMs) {

    /**
     * Computes the bound.
     *
     * @param nowMs the receiver's time in milliseconds.
     * @param stampMs the stamp, as issued by the receiver.
     * @param stampAgeMs how long the sender had held the stamp when it sent the frame, in milliseconds.
     * @return the age, never null; zero if the sender states a longer holding time than the stamp has existed.
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
