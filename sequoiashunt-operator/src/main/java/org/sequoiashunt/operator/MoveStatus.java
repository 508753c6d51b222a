package org.sequoiashunt.operator;

import java.util.Objects;
import java.util.Optional;
import org.sequoiashunt.commit.MoveHistory;
import org.sequoiashunt.configuration.Move;
import org.sequoiashunt.rollout.RolloutProgress;
import org.sequoiashunt.rollout.Stage;

/**
 * Status of a move of traffic from one version of a service to another.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service the service whose traffic moves.
 * @param from the old version.
 * @param to the new version.
 * @param finishByMs when the move is due, in milliseconds since the epoch.
 * @param state the state of the move.
 * @param shareParts the share of the new version, in parts per million.
 * @param sinceMs the time of the latest step, in milliseconds since the epoch, zero if there is none.
 * @param lateByMs the delay beyond the due time, in milliseconds, zero if the move is not late.
 * @param reason the reason for the latest step or for the unreadable progress, may be empty.
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
        long endMs = state.isUnfinished() ? nowMs : findAllTrafficStartMs(history.get());
        long lateByMs = state == State.TAKEN_BACK ? 0 : Math.max(0, endMs - move.finishByMs());
        return of(service, move, state, latest.shareParts(), latest.atMs(), lateByMs, latest.reason());
    }

    /** Creates the status of a move whose progress in the store cannot be read. */
    static MoveStatus unreadable(final String service, final Move move, final String reason) {
        return of(service, move, State.UNREADABLE, 0, 0, 0, reason);
    }

    /**
     * Returns the status for a move that is no longer part of the accepted configuration. A finished move keeps its
     * status.
     */
    MoveStatus asReplaced() {
        if (!state.isUnfinished() && state != State.WATCHED) {
            return this;
        }
        return new MoveStatus(service, from, to, finishByMs, State.REPLACED, shareParts, sinceMs, 0, reason);
    }

    /** Returns the current share of requests sent to the new version, in parts per million. */
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

    /**
     * Returns when the new version got all traffic. Lateness is measured at that time; the observation afterwards does
     * not count.
     */
    private static long findAllTrafficStartMs(final MoveHistory history) {
        return history.steps().stream()
                .filter(step -> step.stage() == Stage.WATCHING || step.stage() == Stage.SEALED_DONE)
                .mapToLong(MoveHistory.Step::atMs)
                .findFirst()
                .orElse(history.latestStep().atMs());
    }

    /** State of a move as shown to operators. Immutable and thread-safe. */
    enum State {
        /** The store holds no progress of the move. */
        NOT_STARTED(true),
        /** The new version gets a share of the traffic. */
        IN_PROGRESS(true),
        /** The new version has all traffic and is observed for faults that appear late. */
        WATCHED(false),
        /** Finished; the new version keeps the traffic. */
        DONE(false),
        /** Finished; the old version keeps the traffic. */
        TAKEN_BACK(false),
        /** A later commit replaced the move before it was finished. */
        REPLACED(false),
        /** The store holds progress that cannot be read. */
        UNREADABLE(false);

        private final boolean unfinished;

        State(final boolean open) {
            this.unfinished = open;
        }

        private boolean isUnfinished() {
            return unfinished;
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
