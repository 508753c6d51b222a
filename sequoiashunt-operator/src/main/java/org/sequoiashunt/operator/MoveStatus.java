package org.sequoiashunt.operator;

import java.util.Objects;
import java.util.Optional;
import org.sequoiashunt.commit.MoveHistory;
import org.sequoiashunt.configuration.Move;
import org.sequoiashunt.rollout.RolloutProgress;
import org.sequoiashunt.rollout.Stage;

/**
 * Where a move stands.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service the service whose traffic moves.
 * @param from the version that had the traffic.
 * @param to the version that is to have it.
 * @param finishByMs when the move is due, in milliseconds since the epoch.
 * @param state the state.
 * @param shareParts the share of the new version, in parts per million.
 * @param sinceMs since when the state lasts, in milliseconds since the epoch, zero if it has not started.
 * @param lateByMs by how much the time was missed so far, in milliseconds, zero or less if it was not.
 * @param reason what was seen, may be empty.
 */
record MoveStatus(
        String service,
        String from,
        String to,
        long finishByMs,
        State state,
        int shareParts,
        long sinceMs,
        long lateByMs,
        String reason) {

    MoveStatus {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(reason, "reason");
    }

    /** Creates the status of a move of the configuration in force. */
    static MoveStatus of(final String service, final Move move, final Optional<MoveHistory> history, final long nowMs) {
        if (history.isEmpty()) {
            return of(service, move, State.NOT_STARTED, 0, 0, Math.max(0, nowMs - move.finishByMs()), "");
        }
        MoveHistory.Step latest = history.get().latestStep();
        State state = State.of(latest.stage());
        long endMs = state.isOpen() ? nowMs : allTrafficSinceMs(history.get());
        long lateByMs = state == State.TAKEN_BACK ? 0 : Math.max(0, endMs - move.finishByMs());
        return of(service, move, state, latest.shareParts(), latest.atMs(), lateByMs, latest.reason());
    }

    /** Creates the status of a move whose progress in the store cannot be read. */
    static MoveStatus unreadable(final String service, final Move move, final String reason) {
        return of(service, move, State.UNREADABLE, 0, 0, 0, reason);
    }

    /** Returns this status for a move that the configuration in force does not contain any more. */
    MoveStatus outOfForce() {
        if (!state.isOpen() && state != State.WATCHED) {
            return this;
        }
        return new MoveStatus(service, from, to, finishByMs, State.REPLACED, shareParts, sinceMs, 0, reason);
    }

    /** Returns the share of requests that take the new version now, in parts per million. */
    int newVersionShareParts() {
        return switch (state) {
            case NOT_STARTED, TAKEN_BACK, REPLACED, UNREADABLE -> 0;
            case IN_PROGRESS -> shareParts;
            case WATCHED, DONE -> RolloutProgress.WHOLE_SHARE_PARTS;
        };
    }

    private static MoveStatus of(
            final String service,
            final Move move,
            final State state,
            final int shareParts,
            final long sinceMs,
            final long lateByMs,
            final String reason) {
        return new MoveStatus(
                service, move.from(), move.to(), move.finishByMs(), state, shareParts, sinceMs, lateByMs, reason);
    }

    /** A move meets its time when the new version has all traffic; the watch that follows does not count. */
    private static long allTrafficSinceMs(final MoveHistory history) {
        return history.steps().stream()
                .filter(step -> step.stage() == Stage.WATCHING || step.stage() == Stage.SEALED_DONE)
                .mapToLong(MoveHistory.Step::atMs)
                .findFirst()
                .orElse(history.latestStep().atMs());
    }

    /** State of a move in the words of operators. Immutable and thread-safe. */
    enum State {
        /** No node has begun. */
        NOT_STARTED(true),
        /** The new version gets a share of the traffic. */
        IN_PROGRESS(true),
        /** The new version has all traffic and is watched for faults that show late. */
        WATCHED(false),
        /** Finished; the new version keeps the traffic. */
        DONE(false),
        /** Finished; the old version keeps the traffic. */
        TAKEN_BACK(false),
        /** A later commit replaced the move before it was finished. */
        REPLACED(false),
        /** The store holds progress that cannot be read. */
        UNREADABLE(false);

        private final boolean open;

        State(final boolean open) {
            this.open = open;
        }

        private boolean isOpen() {
            return open;
        }

        private static State of(final Stage stage) {
            return switch (stage) {
                case SHIFTING -> IN_PROGRESS;
                case WATCHING -> WATCHED;
                case SEALED_DONE -> DONE;
                case TAKEN_BACK, SEALED_TAKEN_BACK -> TAKEN_BACK;
            };
        }
    }
}
