package org.sequoiashunt.rollout;

/**
 * Decides when a step of a move has been held long enough.
 *
 * <p>Confined to one thread. Invariant: time before a suspension of this process and during it does not count as hold
 * time, since this process analyzed no evidence during the suspension.
 */
final class StepPacer {

    /** Longest time between two ticks, in milliseconds; a longer one means that the process was suspended. */
    private static final long MAXIMUM_TICK_GAP_MS = 3_000;

    /** Largest factor by which the hold time of a step is extended. */
    private static final int MAXIMUM_EXTENSION_FACTOR = 3;

    /**
     * Time reserved when a step is extended, in multiples of the minimum hold times of this step and all after it.
     */
    private static final int RESERVED_TIME_FACTOR = 2;

    private final long finishByMs;
    private long stepStartMs;
    private long lastTickMs;

    StepPacer(final long finishByMs, final long nowMs) {
        this.finishByMs = finishByMs;
        this.stepStartMs = nowMs;
        this.lastTickMs = nowMs;
    }

    /**
     * Starts the hold time of a step.
     *
     * @param nowMs the current time in milliseconds.
     */
    void startStep(final long nowMs) {
        stepStartMs = nowMs;
    }

    /**
     * Records a tick of the controller. If the process was suspended since the previous tick, the hold time restarts.
     *
     * @param nowMs the current time in milliseconds.
     */
    void recordTick(final long nowMs) {
        if (nowMs - lastTickMs > MAXIMUM_TICK_GAP_MS) {
            stepStartMs = nowMs;
        }
        lastTickMs = nowMs;
    }

    /**
     * Tells whether the next step is due.
     *
     * @param step the step being held, not null.
     * @param extend whether to hold the step longer, as far as the time until the deadline allows.
     * @param expectedRequests requests expected over the whole move, zero or more.
     * @param nowMs the current time in milliseconds.
     * @return true if the step has been held long enough.
     */
    boolean isDue(final RolloutStep step, final boolean extend, final double expectedRequests, final long nowMs) {
        long remainingMs = finishByMs - stepStartMs;
        long holdMs = step.holdMs(remainingMs, expectedRequests);
        if (extend) {
            long spareMs = remainingMs - RESERVED_TIME_FACTOR * step.minimumRemainingMs();
            holdMs = Math.max(holdMs, Math.min(MAXIMUM_EXTENSION_FACTOR * holdMs, spareMs));
        }
        return nowMs - stepStartMs >= holdMs;
    }

    /**
     * Describes the pace for operators.
     *
     * @param step the step that starts, not null.
     * @param expectedRequests requests expected over the whole move, zero or more.
     * @param nowMs the current time in milliseconds.
     * @return part of a sentence, empty if there is enough time until the deadline.
     */
    String describe(final RolloutStep step, final double expectedRequests, final long nowMs) {
        long remainingMs = finishByMs - nowMs;
        if (step.isLate(remainingMs)) {
            return remainingMs < 0 ? "; late: finishBy has passed" : "; late: too little time before finishBy";
        }
        return step.isShortened(remainingMs, expectedRequests)
                ? "; steps shortened to their floor, as finishBy is near"
                : "";
    }
}
