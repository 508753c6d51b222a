package org.sequoiashunt.rollout;

import java.util.Optional;

/**
 * Steps of a move, in order, with the share of the new version in each and the part of the time that each may take.
 *
 * <p>Most of the time goes to the first step, since a fault that shows late reaches few requests there. The
 * {@link #WATCH} step keeps a small remainder on the old version: without it there would be nothing to judge the new
 * one against, and a fault of a shared dependency would look like one of the version. Immutable and thread-safe.
 */
public enum RolloutStep {
    /** First requests. */
    TRACE(8_000, Stage.SHIFTING, 45, 4_000),
    /** Small share. */
    SMALL(50_000, Stage.SHIFTING, 12, 4_000),
    /** A quarter. */
    QUARTER(250_000, Stage.SHIFTING, 9, 4_000),
    /** Half. */
    HALF(500_000, Stage.SHIFTING, 9, 4_000),
    /** All but a remainder that keeps the old version comparable. */
    WATCH(980_000, Stage.WATCHING, 15, 6_000),
    /** All; waits for the seal. */
    WHOLE(RolloutProgress.WHOLE_SHARE_PARTS, Stage.WATCHING, 0, 0);

    private static final int MARGIN_WEIGHT = 10;

    private final int shareParts;
    private final Stage stage;
    private final int weight;
    private final long floorMs;

    RolloutStep(final int shareParts, final Stage stage, final int weight, final long floorMs) {
        this.shareParts = shareParts;
        this.stage = stage;
        this.weight = weight;
        this.floorMs = floorMs;
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
     * @return milliseconds.
     */
    public long holdMs(final long remainingMs) {
        return Math.max(floorMs, pacedMs(remainingMs));
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
     * @return true if its part of the time would be shorter than the floor.
     */
    public boolean isCompressed(final long remainingMs) {
        return pacedMs(remainingMs) < floorMs;
    }

    private long pacedMs(final long remainingMs) {
        int weights = MARGIN_WEIGHT;
        for (int index = ordinal(); index < values().length; index++) {
            weights += values()[index].weight;
        }
        return remainingMs * weight / weights;
    }
}
