package org.sequoiashunt.rollout;

import java.util.Optional;

/**
 * Steps of a move in order, each with the share of the new version and the fraction of the move's time that the step
 * gets.
 *
 * <p>With high traffic most of the time goes to the first step, since a fault that shows late affects few requests
 * there. With low traffic the first step gets almost no requests, so most of the time goes to {@link #HALF}, where
 * few requests give the most evidence. Each step has one weight per {@link TrafficLevel}, in order.
 *
 * <p>{@link #MOST} and {@link #NEARLY_ALL} keep a remainder of the requests on the old version: without it there
 * would be nothing to compare the new version with, and a fault of a shared dependency would look like a fault of the
 * new version. Immutable and thread-safe.
 */
public enum RolloutStep {
    /** 0.8 % of the requests. */
    INITIAL(8_000, Stage.SHIFTING, 4_000, 4, 52, 78),
    /** 5 % of the requests. */
    SMALL(50_000, Stage.SHIFTING, 4_000, 4, 4, 1),
    /** A quarter of the requests. */
    QUARTER(250_000, Stage.SHIFTING, 4_000, 8, 6, 1),
    /** Half of the requests. */
    HALF(500_000, Stage.SHIFTING, 4_000, 66, 16, 2),
    /** 90 % of the requests; the remainder is large enough to compare with. */
    MOST(900_000, Stage.SHIFTING, 4_000, 6, 8, 6),
    /** 98 % of the requests. */
    NEARLY_ALL(980_000, Stage.WATCHING, 4_000, 2, 4, 2),
    /** All requests; the outcome is not yet sealed in the store. */
    ALL(RolloutProgress.WHOLE_SHARE_PARTS, Stage.WATCHING, 0, 0, 0, 0);

    /** Weight of the time that is kept free before the deadline, relative to the weights of the steps. */
    private static final int MARGIN_WEIGHT = 10;

    private final int shareParts;
    private final Stage stage;
    private final long minimumHoldMs;
    private final int[] weights;

    RolloutStep(final int shareParts, final Stage stage, final long minimumHoldMs, final int... weights) {
        this.shareParts = shareParts;
        this.stage = stage;
        this.minimumHoldMs = minimumHoldMs;
        this.weights = weights;
    }

    /**
     * Returns the step that a move has reached.
     *
     * @param progress the progress of the move, not null.
     * @return the last step whose share has been reached, or the first step if none has.
     */
    public static RolloutStep of(final RolloutProgress progress) {
        RolloutStep reached = INITIAL;
        for (RolloutStep step : values()) {
            if (step.shareParts <= progress.shareParts()) {
                reached = step;
            }
        }
        return reached;
    }

    /**
     * Returns the share of the new version.
     *
     * @return the share in parts per million, above zero.
     */
    public int shareParts() {
        return shareParts;
    }

    /**
     * Returns the stage of the move during this step.
     *
     * @return the stage, never null.
     */
    public Stage stage() {
        return stage;
    }

    /**
     * Returns the shortest time for which this step is held, even if the move is late.
     *
     * @return the time in milliseconds, zero or more.
     */
    public long minimumHoldMs() {
        return minimumHoldMs;
    }

    /**
     * Returns the step after this one.
     *
     * @return the next step, or empty after the last.
     */
    public Optional<RolloutStep> next() {
        int index = ordinal() + 1;
        return index < values().length ? Optional.of(values()[index]) : Optional.empty();
    }

    /**
     * Returns how long to hold this step: its fraction of the remaining time, but at least its minimum.
     *
     * @param remainingMs time from the start of this step until the move must be finished, in milliseconds; may be
     *     negative.
     * @param expectedRequests requests expected over the whole move, zero or more.
     * @return the time in milliseconds, zero or more.
     */
    public long holdMs(final long remainingMs, final double expectedRequests) {
        return Math.max(minimumHoldMs, proportionalHoldMs(remainingMs, expectedRequests));
    }

    /**
     * Tells whether the remaining time is too short to hold this step and all after it for their minimum times.
     *
     * @param remainingMs time until the move must be finished, in milliseconds; may be negative.
     * @return true if the move will be finished late.
     */
    public boolean isLate(final long remainingMs) {
        return remainingMs < minimumRemainingMs();
    }

    /**
     * Returns the sum of the minimum hold times of this step and all after it.
     *
     * @return the time in milliseconds, zero or more.
     */
    public long minimumRemainingMs() {
        long neededMs = 0;
        for (int index = ordinal(); index < values().length; index++) {
            neededMs += values()[index].minimumHoldMs;
        }
        return neededMs;
    }

    /**
     * Tells whether this step is shortened to its minimum hold time.
     *
     * @param remainingMs time from the start of this step until the move must be finished, in milliseconds; may be
     *     negative.
     * @param expectedRequests requests expected over the whole move, zero or more.
     * @return true if the fraction of the remaining time is shorter than the minimum.
     */
    public boolean isShortened(final long remainingMs, final double expectedRequests) {
        return proportionalHoldMs(remainingMs, expectedRequests) < minimumHoldMs;
    }

    private long proportionalHoldMs(final long remainingMs, final double expectedRequests) {
        int level = TrafficLevel.of(expectedRequests).ordinal();
        int total = MARGIN_WEIGHT;
        for (int index = ordinal(); index < values().length; index++) {
            total += values()[index].weights[level];
        }
        return remainingMs * weights[level] / total;
    }
}
