package org.sequoiashunt.operator;

import org.sequoiashunt.commit.MoveHistory;
import org.sequoiashunt.configuration.Move;

/**
 * Formats the status and the stages of a move, one line each. Not instantiable; thread-safe.
 */
final class MoveFormatter {

    private MoveFormatter() {}

    static String formatTitle(final String service, final Move move) {
        return service + " " + move.from() + " -> " + move.to();
    }

    static String formatStatus(final MoveStatus status) {
        String title = status.service() + " " + status.from() + " -> " + status.to() + ": ";
        return title + formatState(status) + formatLateness(status) + formatReason(status);
    }

    static String formatStep(final MoveHistory.Step step) {
        String stage =
                switch (step.stage()) {
                    case SHIFTING -> ValueFormatter.formatShare(step.shareParts()) + " of the traffic";
                    case WATCHING -> "all traffic, under watch";
                    case TAKEN_BACK -> "taken back";
                    case SEALED_DONE -> "done for good";
                    case SEALED_TAKEN_BACK -> "taken back for good";
                };
        return ValueFormatter.formatTime(step.atMs()) + " " + stage + ": "
                + ValueFormatter.replaceControlCharacters(step.reason());
    }

    private static String formatState(final MoveStatus status) {
        String due = ", due " + ValueFormatter.formatTime(status.finishByMs());
        return switch (status.state()) {
            case NOT_STARTED -> "not started" + due;
            case IN_PROGRESS ->
                "in progress, " + ValueFormatter.formatShare(status.shareParts()) + " of the traffic" + due;
            case WATCHED ->
                "in progress, all traffic since " + ValueFormatter.formatTime(status.sinceMs()) + " and under watch"
                        + due;
            case DONE -> "done at " + ValueFormatter.formatTime(status.sinceMs()) + due;
            case TAKEN_BACK -> "taken back at " + ValueFormatter.formatTime(status.sinceMs());
            case UNREADABLE -> "not known" + due;
            case REPLACED ->
                "replaced by a later commit at " + ValueFormatter.formatShare(status.shareParts()) + " of the traffic";
        };
    }

    private static String formatLateness(final MoveStatus status) {
        return status.lateByMs() > 0 ? ", LATE by " + ValueFormatter.formatDuration(status.lateByMs()) : "";
    }

    private static String formatReason(final MoveStatus status) {
        return status.reason().isEmpty() ? "" : ": " + ValueFormatter.replaceControlCharacters(status.reason());
    }
}
