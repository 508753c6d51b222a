package org.sequoiashunt.link;

/**
 * Time-outs, byte limits and count limits of the protocol between nodes. Start from {@link #standard()}.
 *
 * <p>Immutable and thread-safe. Invariant: every limit is positive.
 *
 * @param pingIntervalMs how long a link that awaits a response may receive nothing before a ping is sent, in
 *     milliseconds; also the shortest time between two acknowledgement frames that are not full, and between two pongs
 *     to a peer that is sending a long frame.
 * @param silenceTimeoutMs how long such a link may receive nothing before its connection is replaced, in milliseconds.
 * @param openTimeoutMs the longest time for connecting and exchanging hello frames, in milliseconds.
 * @param unsentTimeoutMs how long a call waits to be sent before it ends as not run, in milliseconds.
 * @param resumeTimeoutMs how long a sent call whose connection was lost may wait to be resumed before it ends as
 *     unknown, in milliseconds.
 * @param idleTimeoutMs how long an unused link stays open, in milliseconds; the accepting side waits twice as long.
 * @param maximumFrameAgeMs the maximum age of a call when it reaches the gate, in milliseconds.
 * @param frameTimeoutMs how long a frame may take to arrive completely, in milliseconds.
 * @param maximumFrameBytes the maximum length of a frame.
 * @param maximumConnections the maximum number of accepted connections, and separately of links.
 * @param maximumPartialFrameBytes the memory for incompletely received frames of all accepted connections, and
 *     separately of all links, in bytes.
 * @param maximumUnreadBytes the memory for written frames that have not been sent because their peers do not read, of
 *     all accepted connections, and separately of all links, in bytes.
 * @param maximumRequestBytes the memory for the requests of accepted calls that have not ended, in bytes.
 * @param maximumRetainedBytes the memory for results retained until their receiver has acknowledged them, in bytes.
 * @param maximumRetainedCalls the maximum number of calls in the ledger of the side that runs them.
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
        long maximumUnreadBytes,
        long maximumRequestBytes,
        long maximumRetainedBytes,
        int maximumRetainedCalls) {

    private static final int MEGABYTE = 1 << 20;

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if a limit is not positive.
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
        requirePositive("maximumUnreadBytes", maximumUnreadBytes);
        requirePositive("maximumRequestBytes", maximumRequestBytes);
        requirePositive("maximumRetainedBytes", maximumRetainedBytes);
        requirePositive("maximumRetainedCalls", maximumRetainedCalls);
    }

    /**
     * Returns the limits for a node with 128 MB of memory: silent connections are replaced within a second, and bodies
     * may have one megabyte.
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
                12L * MEGABYTE,
                32L * MEGABYTE,
                4L * MEGABYTE,
                16_384);
    }

    /**
     * Returns a copy of these limits with other times for pinging and replacing links.
     *
     * @param newPingIntervalMs how long a link that awaits a response may receive nothing before a ping is sent, in
     *     milliseconds.
     * @param newSilenceTimeoutMs how long such a link may receive nothing before its connection is replaced, in
     *     milliseconds.
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
                maximumUnreadBytes,
                maximumRequestBytes,
                maximumRetainedBytes,
                maximumRetainedCalls);
    }

    /**
     * Returns a copy of these limits that allows bodies of a given length and their headers. The memory limits are
     * raised where they would not hold two frames.
     *
     * @param maximumBodyBytes the maximum length of a body, zero or more.
     * @return the bounds, never null.
     * @throws IllegalArgumentException if the length is negative or more than half of {@link Integer#MAX_VALUE}.
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
                Math.max(maximumUnreadBytes, 2L * frameBytes),
                Math.max(maximumRequestBytes, 2L * frameBytes),
                Math.max(maximumRetainedBytes, 2L * frameBytes),
                maximumRetainedCalls);
    }

    private static void requirePositive(final String name, final long value) {
        if (value < 1) {
            throw new IllegalArgumentException(name + " must be positive: " + value);
        }
    }
}
