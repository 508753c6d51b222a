package org.sequoiashunt.rollout;

/**
 * Decides when a step has been held long enough.
 *
 * <p>Confined to one thread. Invariant: time in which this process was frozen does not count, since nobody here looked
 * at evidence then.
 */
final class StepPacer {

    /** Ticks further apart than this mean that the process was frozen. */
    private static final long FROZEN_MS = 3_000;

    /** How much longer a step may last when there is reason to wait. */
    private static final int WAITING_FACTOR = 3;

    /** Time kept for the steps ahead while waiting, in multiples of their floors. */
    private static final int AHEAD_FACTOR = 2;

    private final long finishByMs;
    private long beganMs;
    private long tickedMs;

    StepPacer(final long finishByMs, final long nowMs) {
        this.finishByMs = finishByMs;
        this.beganMs = nowMs;
        this.tickedMs = nowMs;
    }

    /**
     * Begins a step.
     *
     * @param nowMs the current time in milliseconds.
     */
    void begin(final long nowMs) {
        beganMs = nowMs;
    }

    /**
     * Notes that the controller is awake. After a gap, the present step begins anew.
     *
     * @param nowMs the current time in milliseconds.
     */
    void noteTick(final long nowMs) {
        if (nowMs - tickedMs > FROZEN_MS) {
            beganMs = nowMs;
        }
        tickedMs = nowMs;
    }

    /**
     * Tells whether the next step is due.
     *
     * @param step the present step, not null.
     * @param waiting whether there is reason to hold the step longer.
     * @param expectedRequests requests over the whole move as far as is known, zero or more.
     * @param nowMs the current time in milliseconds.
     * @return true if the step has been held long enough.
     */
    boolean isDue(final RolloutStep step, final boolean waiting, final double expectedRequests, final long nowMs) {
        long remainingMs = finishByMs - beganMs;
        long holdMs = step.holdMs(remainingMs, expectedRequests);
        if (waiting) {
            long spareMs = remainingMs - AHEAD_FACTOR * step.floorsAheadMs();
            holdMs = Math.max(holdMs, Math.min(WAITING_FACTOR * holdMs, spareMs));
        }
        return nowMs - beganMs >= holdMs;
    }

    /**
     * Describes the pace for operators.
     *
     * @param step the step that begins, not null.
     * @param expectedRequests requests over the whole move as far as is known, zero or more.
     * @param nowMs the current time in milliseconds.
     * @return part of a sentence, empty if there is time enough.
     */
    String describe(final RolloutStep step, final double expectedRequests, final long nowMs) {
        long remainingMs = finishByMs - nowMs;
        if (step.isLate(remainingMs)) {
            return remainingMs < 0 ? "; late: finishBy has passed" : "; late: too little time before finishBy";
        }
        return step.isCompressed(remainingMs, expectedRequests)
                ? "; steps shortened to their floor, as finishBy is near"
                : "";
    }
}
