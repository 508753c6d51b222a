package org.sequoiashunt.link;

/**
 * Bounds of the protocol in time, bytes and numbers. Start from {@link #standard()}.
 *
 * <p>Immutable and thread-safe. Invariant: every bound is positive.
 *
 * @param pingIntervalMs how long a link on which something is awaited may be quiet before it is probed.
 * @param silenceTimeoutMs how long such a link may be quiet before it is replaced.
 * @param openTimeoutMs the longest time for connecting and for the exchange of introductions.
 * @param unsentTimeoutMs how long a call waits for a link before it ends as not run.
 * @param resumeTimeoutMs how long a call whose link was lost is asked after before it ends as unknown.
 * @param idleTimeoutMs how long an unused link stays open.
 * @param maximumFrameAgeMs the greatest age of a call when it reaches the gate.
 * @param frameTimeoutMs how long a frame may take to arrive whole.
 * @param maximumFrameBytes the greatest length of a frame.
 * @param maximumConnections the greatest number of accepted connections, and of links.
 * @param maximumPartialFrameBytes the memory for frames that have not arrived whole, over all accepted connections.
 * @param maximumRetainedBytes the memory for answers retained until their receiver has acknowledged them.
 * @param maximumRetainedCalls the greatest number of calls remembered on the side that runs them.
 */
public record LinkLimits(
        long pingIntervalMs,
        long silenceTimeoutMs,
        long openTimeoutMs,
        long unsentTimeoutMs,
        long resumeTimeoutMs,
        long idleTimeoutMs,
        long maximumFrameAgeMs,
        long frameTimeoutMs,
        int maximumFrameBytes,
        int maximumConnections,
        long maximumPartialFrameBytes,
        long maximumRetainedBytes,
        int maximumRetainedCalls) {

    private static final int MEGABYTE = 1 << 20;

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if a bound is not positive.
     */
    public LinkLimits {
        requirePositive("pingIntervalMs", pingIntervalMs);
        requirePositive("silenceTimeoutMs", silenceTimeoutMs);
        requirePositive("openTimeoutMs", openTimeoutMs);
        requirePositive("unsentTimeoutMs", unsentTimeoutMs);
        requirePositive("resumeTimeoutMs", resumeTimeoutMs);
        requirePositive("idleTimeoutMs", idleTimeoutMs);
        requirePositive("maximumFrameAgeMs", maximumFrameAgeMs);
        requirePositive("frameTimeoutMs", frameTimeoutMs);
        requirePositive("maximumFrameBytes", maximumFrameBytes);
        requirePositive("maximumConnections", maximumConnections);
        requirePositive("maximumPartialFrameBytes", maximumPartialFrameBytes);
        requirePositive("maximumRetainedBytes", maximumRetainedBytes);
        requirePositive("maximumRetainedCalls", maximumRetainedCalls);
    }

    /**
     * Returns the bounds for a node with 128 MB of memory: links replaced within a second, bodies of one megabyte.
     *
     * @return the bounds, never null.
     */
    public static LinkLimits standard() {
        return new LinkLimits(
                250,
                750,
                750,
                1_000,
                3_000,
                30_000,
                1_500,
                10_000,
                MEGABYTE + MEGABYTE / 4,
                4_096,
                8L * MEGABYTE,
                4L * MEGABYTE,
                16_384);
    }

    /**
     * Returns these bounds with other times for probing links.
     *
     * @param newPingIntervalMs how long a link on which something is awaited may be quiet before it is probed.
     * @param newSilenceTimeoutMs how long such a link may be quiet before it is replaced.
     * @return the bounds, never null.
     * @throws IllegalArgumentException if a time is not positive.
     */
    public LinkLimits withPingTimes(final long newPingIntervalMs, final long newSilenceTimeoutMs) {
        return new LinkLimits(
                newPingIntervalMs,
                newSilenceTimeoutMs,
                openTimeoutMs,
                unsentTimeoutMs,
                resumeTimeoutMs,
                idleTimeoutMs,
                maximumFrameAgeMs,
                frameTimeoutMs,
                maximumFrameBytes,
                maximumConnections,
                maximumPartialFrameBytes,
                maximumRetainedBytes,
                maximumRetainedCalls);
    }

    /**
     * Returns these bounds with room for bodies of a given length and the headers beside them.
     *
     * @param maximumBodyBytes the length of the longest body, zero or more.
     * @return the bounds, never null.
     * @throws IllegalArgumentException if the length is negative or more than half of the greatest integer.
     */
    public LinkLimits withMaximumBodyBytes(final int maximumBodyBytes) {
        if (maximumBodyBytes < 0 || maximumBodyBytes > Integer.MAX_VALUE / 2) {
            throw new IllegalArgumentException("maximumBodyBytes out of range: " + maximumBodyBytes);
        }
        int frameBytes = maximumBodyBytes + MEGABYTE / 4;
        return new LinkLimits(
                pingIntervalMs,
                silenceTimeoutMs,
                openTimeoutMs,
                unsentTimeoutMs,
                resumeTimeoutMs,
                idleTimeoutMs,
                maximumFrameAgeMs,
                frameTimeoutMs,
                frameBytes,
                maximumConnections,
                Math.max(maximumPartialFrameBytes, 2L * frameBytes),
                Math.max(maximumRetainedBytes, 2L * frameBytes),
                maximumRetainedCalls);
    }

    private static void requirePositive(final String name, final long value) {
        if (value < 1) {
            throw new IllegalArgumentException(name + " must be positive: " + value);
        }
    }
}
