package org.sequoiashunt.execution;

/**
 * Times that the safety of claims rests on.
 *
 * <p>Immutable and thread-safe. Invariant: a claim is retained for longer than callers resend, plus the longest
 * attempt, the fence and the pause that an entry does not notice, with a margin for clock drift.
 *
 * @param resendMs the longest time from a caller's first request to the arrival of its last resend, in milliseconds.
 * @param attemptMs the longest time from the start of a claim to its dispatch, in milliseconds.
 * @param fenceMs how long a guard grants claims after a majority of its roster last answered, in milliseconds.
 * @param pauseMs the longest gap between ticks after which an entry still claims, in milliseconds.
 * @param replaceAfterMs how long a guard must be out of reach before it is replaced, in milliseconds.
 * @param heartbeatMs time between heartbeats of guards, in milliseconds.
 */
public record ClaimTiming(
        long resendMs, long attemptMs, long fenceMs, long pauseMs, long replaceAfterMs, long heartbeatMs) {

    /** Relative clock drift between two nodes that the retention allows for, as one part in this many. */
    private static final long DRIFT_DIVISOR = 50;

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if a time is not positive, if the fence does not hold several heartbeats, or if
     *     a guard could be replaced before it is fenced.
     */
    public ClaimTiming {
        if (resendMs < 1 || attemptMs < 1 || pauseMs < 1 || heartbeatMs < 1) {
            throw new IllegalArgumentException("times must be positive");
        }
        if (fenceMs < 2 * heartbeatMs) {
            throw new IllegalArgumentException("the fence must be two heartbeats or more: " + fenceMs);
        }
        if (replaceAfterMs <= fenceMs + fenceMs / DRIFT_DIVISOR) {
            throw new IllegalArgumentException("a guard must be fenced before it is replaced: " + replaceAfterMs);
        }
    }

    /**
     * Returns the times for production.
     *
     * @return the times: callers may resend for two minutes.
     */
    public static ClaimTiming defaults() {
        return new ClaimTiming(120_000, 30_000, 4_000, 10_000, 30_000, 1_000);
    }

    /**
     * Returns how long guards retain a claim.
     *
     * @return the retention window in milliseconds.
     */
    public long retentionMs() {
        long sum = resendMs + attemptMs + fenceMs + pauseMs;
        return sum + 2 * (sum / DRIFT_DIVISOR) + heartbeatMs;
    }
}
