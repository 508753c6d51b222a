package org.sequoiashunt.operator;

import org.sequoiashunt.commit.MoveHistory;
import org.sequoiashunt.configuration.Move;

/**
 * States in one plain line where a move stands. Not instantiable; thread-safe.
 */
final class MoveFormatter {

    private MoveFormatter() {}

    static String title(final String service, final Move move) {
        return service + " " + move.from() + " -> " + move.to();
    }

    static String line(final MoveStatus status) {
        String title = status.service() + " " + status.from() + " -> " + status.to() + ": ";
        return title + state(status) + lateness(status) + reason(status);
    }

    static String step(final MoveHistory.Step step) {
        String stage =
                switch (step.stage()) {
                    case SHIFTING -> ValueFormatter.share(step.shareParts()) + " of the traffic";
                    case WATCHING -> "all traffic, under watch";
                    case TAKEN_BACK -> "taken back";
                    case SEALED_DONE -> "done for good";
                    case SEALED_TAKEN_BACK -> "taken back for good";
                };
        return ValueFormatter.time(step.atMs()) + " " + stage + ": " + ValueFormatter.plain(step.reason());
    }

    private static String state(final MoveStatus status) {
        String due = ", due " + ValueFormatter.time(status.finishByMs());
        return switch (status.state()) {
            case NOT_STARTED -> "not started" + due;
            case IN_PROGRESS -> "in progress, " + ValueFormatter.share(status.shareParts()) + " of the traffic" + due;
            case WATCHED ->
                "in progress, all traffic since " + ValueFormatter.time(status.sinceMs()) + " and under watch" + due;
            case DONE -> "done at " + ValueFormatter.time(status.sinceMs()) + due;
            case TAKEN_BACK -> "taken back at " + ValueFormatter.time(status.sinceMs());
            case UNREADABLE -> "not known" + due;
            case REPLACED ->
                "replaced by a later commit at " + ValueFormatter.share(status.shareParts()) + " of the traffic";
        };
    }

    private static String lateness(final MoveStatus status) {
        return status.lateByMs() > 0 ? ", LATE by " + ValueFormatter.duration(status.lateByMs()) : "";
    }

    private static String reason(final MoveStatus status) {
        return status.reason().isEmpty() ? "" : ": " + ValueFormatter.plain(status.reason());
    }
}
