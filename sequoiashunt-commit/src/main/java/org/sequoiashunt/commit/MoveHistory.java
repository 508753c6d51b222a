package org.sequoiashunt.commit;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.sequoiashunt.rollout.RolloutProgress;
import org.sequoiashunt.rollout.Stage;

/**
 * Stages that one move went through, as the platform's store holds them.
 *
 * <p>Immutable and thread-safe. Invariants: there is at least one step and at most {@value #MAXIMUM_STEPS}; when more
 * are added, the first is kept and the oldest after it are dropped.
 *
 * @param move the identity of the move.
 * @param service the service whose traffic moves.
 * @param steps the stages, oldest first.
 */
public record MoveHistory(String move, String service, List<Step> steps) {

    /** Most steps that are kept. */
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
     * Creates the history of a move that starts.
     *
     * @param progress the first progress, not null.
     * @param atMs when, in milliseconds since the epoch.
     * @return the history, never null.
     */
    public static MoveHistory of(final RolloutProgress progress, final long atMs) {
        return new MoveHistory(progress.move(), progress.service(), List.of(Step.of(progress, atMs)));
    }

    /**
     * Adds a step.
     *
     * @param progress the new progress, not null.
     * @param atMs when, in milliseconds since the epoch.
     * @return the longer history, never null.
     */
    public MoveHistory with(final RolloutProgress progress, final long atMs) {
        List<Step> extended = new ArrayList<>(steps);
        if (extended.size() >= MAXIMUM_STEPS) {
            extended.remove(1);
        }
        extended.add(Step.of(progress, atMs));
        return new MoveHistory(move, service, extended);
    }

    /**
     * Returns the step that is in force.
     *
     * @return the newest step, never null.
     */
    public Step latestStep() {
        return steps.get(steps.size() - 1);
    }

    /**
     * Returns the progress that is in force.
     *
     * @return the newest progress, never null.
     */
    public RolloutProgress latest() {
        Step step = latestStep();
        return new RolloutProgress(move, service, step.stage(), step.shareParts(), step.reason());
    }

    /**
     * One stage of a move. Immutable and thread-safe.
     *
     * @param atMs when the stage was written, in milliseconds since the epoch.
     * @param stage the stage.
     * @param shareParts the share of the new version, in parts per million.
     * @param reason one plain sentence for operators.
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
