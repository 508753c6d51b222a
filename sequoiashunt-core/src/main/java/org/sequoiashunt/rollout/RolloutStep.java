package org.sequoiashunt.rollout;

import java.util.Optional;

/**
 * Steps of a move, in order, with the share of the new version in each and the part of the time that each may take.
 *
 * <p>With much traffic most of the time goes to the first step, since a fault that shows late reaches few requests
 * there. With little traffic the first step sees next to nothing, and most of the time goes to {@link #HALF}, where few
 * requests tell most. The weights are those of each {@link TrafficLevel} in order.
 *
 * <p>{@link #MOST} and {@link #NEARLY_ALL} keep a remainder on the old version: without it there would be nothing to
 * judge the new one against, and a fault of a shared dependency would look like one of the version. Immutable and
 * thread-safe.
 */
public enum RolloutStep {
    /** First requests. */
    TRACE(8_000, Stage.SHIFTING, 4_000, 4, 52, 78),
    /** Small share. */
    SMALL(50_000, Stage.SHIFTING, 4_000, 4, 4, 1),
    /** A quarter. */
    QUARTER(250_000, Stage.SHIFTING, 4_000, 8, 6, 1),
    /** Half. */
    HALF(500_000, Stage.SHIFTING, 4_000, 66, 16, 2),
    /** All but a remainder that is large enough to compare with. */
    MOST(900_000, Stage.SHIFTING, 4_000, 6, 8, 6),
    /** All but a small remainder. */
    NEARLY_ALL(980_000, Stage.WATCHING, 4_000, 2, 4, 2),
    /** All; waits for the seal. */
    WHOLE(RolloutProgress.WHOLE_SHARE_PARTS, Stage.WATCHING, 0, 0, 0, 0);

    private static final int MARGIN_WEIGHT = 10;

    private final int shareParts;
    private final Stage stage;
    private final long floorMs;
    private final int[] weights;

    RolloutStep(final int shareParts, final Stage stage, final long floorMs, final int... weights) {
        this.shareParts = shareParts;
        this.stage = stage;
        this.floorMs = floorMs;
        this.weights = weights;
    }

    /**
     * Returns the step to which progress belongs.
     *
     * @param progress the progress, not null.
     * @return the last step whose share has been reached, or the first one.
     */
    public static RolloutStep of(final RolloutProgress progress) {
        RolloutStep reached = TRACE;
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
     * @return the share in parts per million.
     */
    public int shareParts() {
        return shareParts;
    }

    /**
     * Returns the stage that is shown while this step lasts.
     *
     * @return the stage, never null.
     */
    public Stage stage() {
        return stage;
    }

    /**
     * Returns the shortest time for which this step is held, however late the move is.
     *
     * @return milliseconds.
     */
    public long floorMs() {
        return floorMs;
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
     * Returns how long to hold this step: its part of the time that remains, but not less than its floor.
     *
     * @param remainingMs time from the start of this step until the move must be finished, in milliseconds; may be
     *     negative.
     * @param expectedRequests requests over the whole move as far as is known, zero or more.
     * @return milliseconds.
     */
    public long holdMs(final long remainingMs, final double expectedRequests) {
        return Math.max(floorMs, pacedMs(remainingMs, expectedRequests));
    }

    /**
     * Tells whether the time that remains is too short for the floors of the steps still to be held.
     *
     * @param remainingMs time until the move must be finished, in milliseconds; may be negative.
     * @return true if the move will be finished late.
     */
    public boolean isLate(final long remainingMs) {
        return remainingMs < floorsAheadMs();
    }

    /**
     * Returns the shortest time in which this step and all after it can be held.
     *
     * @return milliseconds.
     */
    public long floorsAheadMs() {
        long neededMs = 0;
        for (int index = ordinal(); index < values().length; index++) {
            neededMs += values()[index].floorMs;
        }
        return neededMs;
    }

    /**
     * Tells whether this step is shortened to its floor.
     *
     * @param remainingMs time from the start of this step until the move must be finished, in milliseconds; may be
     *     negative.
     * @param expectedRequests requests over the whole move as far as is known, zero or more.
     * @return true if its part of the time would be shorter than the floor.
     */
    public boolean isCompressed(final long remainingMs, final double expectedRequests) {
        return pacedMs(remainingMs, expectedRequests) < floorMs;
    }

    private long pacedMs(final long remainingMs, final double expectedRequests) {
        int level = TrafficLevel.of(expectedRequests).ordinal();
        int total = MARGIN_WEIGHT;
        for (int index = ordinal(); index < values().length; index++) {
            total += values()[index].weights[level];
        }
        return remainingMs * weights[level] / total;
    }
}
