package org.sequoiashunt.mesh;

/**
 * Bounds of what callers may send and how long they may take.
 *
 * <p>Immutable and thread-safe. Invariant: every bound is positive.
 *
 * @param headerBytes the most bytes of the headers of a request.
 * @param bodyBytes the most bytes of the body of a request.
 * @param headerTimeoutMs the longest time for the headers to arrive, in milliseconds.
 * @param idleTimeoutMs the longest time for which a connection may be idle, in milliseconds.
 */
public record CallerLimits(int headerBytes, long bodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

    private static final int STANDARD_HEADER_BYTES = 16_384;
    private static final long STANDARD_BODY_BYTES = 1 << 20;
    private static final long STANDARD_HEADER_TIMEOUT_MS = 10_000;
    private static final long STANDARD_IDLE_TIMEOUT_MS = 75_000;

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if a bound is not positive.
     */
    public CallerLimits {
        if (headerBytes < 1 || bodyBytes < 1 || headerTimeoutMs < 1 || idleTimeoutMs < 1) {
            throw new IllegalArgumentException("limits must be positive");
        }
    }

    /**
     * Returns the bounds that hold until a configuration names others.
     *
     * @return the bounds, never null.
     */
    public static CallerLimits standard() {
        return new CallerLimits(
                STANDARD_HEADER_BYTES, STANDARD_BODY_BYTES, STANDARD_HEADER_TIMEOUT_MS, STANDARD_IDLE_TIMEOUT_MS);
    }
}
