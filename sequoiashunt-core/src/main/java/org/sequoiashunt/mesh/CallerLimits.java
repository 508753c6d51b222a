package org.sequoiashunt.mesh;

/**
 * Limits on the size and duration of callers' requests and on the idle time of their connections.
 *
 * <p>Immutable and thread-safe. Invariant: every limit is positive.
 *
 * @param maximumHeaderBytes the maximum length of a request's headers, in bytes.
 * @param maximumBodyBytes the maximum length of a request's body, in bytes.
 * @param headerTimeoutMs the longest time for the headers to arrive, in milliseconds.
 * @param idleTimeoutMs the longest time for which a connection may be idle, in milliseconds.
 */
public record CallerLimits(int maximumHeaderBytes, long maximumBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

    /** Length of the longest body that nodes pass to each other, in bytes; longer ones stay on their VM. */
    public static final int MAXIMUM_FORWARDED_BODY_BYTES = 4 << 20;

    private static final int DEFAULT_HEADER_BYTES = 16_384;
    private static final long DEFAULT_BODY_BYTES = 1 << 20;
    private static final long DEFAULT_HEADER_TIMEOUT_MS = 10_000;
    private static final long DEFAULT_IDLE_TIMEOUT_MS = 75_000;

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if a limit is not positive.
     */
    public CallerLimits {
        if (maximumHeaderBytes < 1 || maximumBodyBytes < 1 || headerTimeoutMs < 1 || idleTimeoutMs < 1) {
            throw new IllegalArgumentException("every limit on callers must be positive: header " + maximumHeaderBytes
                    + " bytes, body " + maximumBodyBytes + " bytes, header timeout " + headerTimeoutMs
                    + " ms, idle timeout " + idleTimeoutMs + " ms");
        }
    }

    /**
     * Returns the limits that apply unless a configuration sets others.
     *
     * @return the limits, never null.
     */
    public static CallerLimits defaults() {
        return new CallerLimits(
                DEFAULT_HEADER_BYTES, DEFAULT_BODY_BYTES, DEFAULT_HEADER_TIMEOUT_MS, DEFAULT_IDLE_TIMEOUT_MS);
    }
}
