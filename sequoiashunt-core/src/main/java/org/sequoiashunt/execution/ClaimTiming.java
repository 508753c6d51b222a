package org.sequoiashunt.execution;

/**
 * Time limits on which at-most-once execution of claimed calls depends.
 *
 * <p>Immutable and thread-safe. Invariant: a claim is retained for longer than the sum of the time in which callers
 * resend, the longest attempt, the fence and the longest process pause that an entry does not detect, plus a margin for
 * clock drift.
 *
 * @param resendMs the longest time from a caller's first request to the arrival of its last resend, in milliseconds.
 * @param attemptMs the longest time from the start of a claim to its dispatch, in milliseconds.
 * @param fenceMs how long a guard grants claims after a majority of its roster last answered, in milliseconds.
 * @param pauseMs the longest gap between ticks that an entry does not treat as a process pause, in milliseconds.
 * @param replaceAfterMs how long a guard must be unreachable before it is replaced, in milliseconds.
 * @param heartbeatMs interval between heartbeats of guards, in milliseconds.
 */
public record ClaimTiming(
        long resendMs, long attemptMs, long fenceMs, long pauseMs, long replaceAfterMs, long heartbeatMs) {

    /** Reciprocal of the relative clock drift between two nodes that the retention allows for: 1/50, or 2 %. */
    private static final long DRIFT_DIVISOR = 50;

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if a time is not positive, if the fence is shorter than two heartbeat intervals,
     *     or if a guard could be replaced before it is fenced.
     */
    public ClaimTiming {
        if (resendMs < 1 || attemptMs < 1 || pauseMs < 1 || heartbeatMs < 1) {
            throw new IllegalArgumentException(
                    "claim timing: resendMs, attemptMs, pauseMs and heartbeatMs must be positive");
        }
        if (fenceMs < 2 * heartbeatMs) {
            throw new IllegalArgumentException(
                    "claim timing: fenceMs must be at least two heartbeat intervals: " + fenceMs);
        }
        if (replaceAfterMs <= fenceMs + fenceMs / DRIFT_DIVISOR) {
            throw new IllegalArgumentException(
                    "claim timing: replaceAfterMs must exceed fenceMs plus clock drift: " + replaceAfterMs);
        }
    }

    /**
     * Returns the timing for production.
     *
     * @return the timing; callers may resend for two minutes.
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
