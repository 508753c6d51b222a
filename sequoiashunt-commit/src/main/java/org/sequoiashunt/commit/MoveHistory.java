package org.sequoiashunt.commit;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.sequoiashunt.rollout.RolloutProgress;
import org.sequoiashunt.rollout.Stage;

/**
 * History of the stages of one move, as the platform's store holds it.
 *
 * <p>Immutable and thread-safe. Invariants: there is at least one step and at most {@value #MAXIMUM_STEPS}; when more
 * are added, the first is kept and the oldest after it are dropped.
 *
 * @param move the id of the move.
 * @param service the service whose traffic moves.
 * @param steps the stages, oldest first.
 */
public record MoveHistory(String move, String service, List<Step> steps) {

    /** Maximum number of steps that are kept. */
    public static final int MAXIMUM_STEPS = 64;

    /**
     * Checks the components and copies the list.
     *
     * @throws NullPointerException if a component is null.
     * @throws IllegalArgumentException if there is no step.
     */
    public MoveHistory {
        Objects.requireNonNull(move, "move");
        Objects.requireNonNull(service, "service");
        steps = List.copyOf(steps);
        if (steps.isEmpty()) {
            throw new IllegalArgumentException("move '" + move + "' has no step");
        }
    }

    /**
     * Creates the history of a move with its first step.
     *
     * @param progress the first progress, not null.
     * @param atMs the time of the step, in milliseconds since the epoch.
     * @return the history, never null.
     */
    public static MoveHistory of(final RolloutProgress progress, final long atMs) {
        return new MoveHistory(progress.move(), progress.service(), List.of(Step.of(progress, atMs)));
    }

    /**
     * Returns a copy of this history with one more step.
     *
     * @param progress the new progress, not null.
     * @param atMs the time of the step, in milliseconds since the epoch.
     * @return the extended history, without its second step if it would exceed {@link #MAXIMUM_STEPS}; never null.
     */
    public MoveHistory append(final RolloutProgress progress, final long atMs) {
        List<Step> extended = new ArrayList<>(steps);
        if (extended.size() >= MAXIMUM_STEPS) {
            extended.remove(1);
        }
        extended.add(Step.of(progress, atMs));
        return new MoveHistory(move, service, extended);
    }

    /**
     * Returns the newest step, which is the current one.
     *
     * @return the newest step, never null.
     */
    public Step latestStep() {
        return steps.get(steps.size() - 1);
    }

    /**
     * Returns the progress that the newest step describes.
     *
     * @return the current progress, never null.
     */
    public RolloutProgress latestProgress() {
        Step step = latestStep();
        return new RolloutProgress(move, service, step.stage(), step.shareParts(), step.reason());
    }

    /**
     * One stage of a move. Immutable and thread-safe.
     *
     * @param atMs the time at which the stage was written, in milliseconds since the epoch.
     * @param stage the stage of the move.
     * @param shareParts the share of the new version, in parts per million.
     * @param reason the reason for the stage, one sentence for operators.
     */
    public record Step(long atMs, Stage stage, int shareParts, String reason) {

        /**
         * Checks the components.
         *
         * @throws NullPointerException if a component is null.
         */
        public Step {
            Objects.requireNonNull(stage, "stage");
            Objects.requireNonNull(reason, "reason");
        }

        private static Step of(final RolloutProgress progress, final long atMs) {
            return new Step(atMs, progress.stage(), progress.shareParts(), progress.reason());
        }
    }
}
