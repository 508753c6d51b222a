package org.sequoiashunt.operator;

import org.sequoiashunt.commit.CommitRecord;
import org.sequoiashunt.commit.CommitRequest;
import org.sequoiashunt.commit.CommitResult;
import org.sequoiashunt.configuration.ServiceConfiguration;

/**
 * States plainly how a commit ended and what to do next. Not instantiable; thread-safe.
 */
final class CommitResultFormatter {

    private CommitResultFormatter() {}

    static CommandResult describe(final CommitResult result, final CommitRequest request, final String warnings) {
        return switch (result.outcome()) {
            case COMMITTED -> new CommandResult(ExitCode.OK, committed(result, request), warnings);
            case UNCHANGED -> new CommandResult(ExitCode.OK, unchanged(result), warnings);
            case LOST_RACE -> CommandResult.failed(ExitCode.LOST_RACE, warnings + lost(result, request));
            case NOT_COMMITTED -> CommandResult.failed(ExitCode.STORE_UNAVAILABLE, warnings + notCommitted(result));
            case NOT_KNOWN -> CommandResult.failed(ExitCode.NOT_KNOWN, warnings + notKnown(result));
        };
    }

    private static String committed(final CommitResult result, final CommitRequest request) {
        CommitRecord record = result.record().orElseThrow();
        StringBuilder text = new StringBuilder();
        text.append("committed as version ").append(record.version());
        text.append(" (commit id ").append(result.commitId()).append("): ");
        text.append(ValueFormatter.count(record.parts().size(), "service")).append('\n');
        for (ServiceConfiguration service : request.services().values()) {
            service.move()
                    .ifPresent(move -> text.append("  ")
                            .append(MoveFormatter.title(service.service(), move))
                            .append(": due ")
                            .append(ValueFormatter.time(move.finishByMs()))
                            .append(move.finishByMs() <= record.atMs() ? ", which has passed already\n" : "\n"));
        }
        return text.toString();
    }

    private static String unchanged(final CommitResult result) {
        return "nothing to change: " + describe(result.record().orElseThrow()) + " has the same content\n";
    }

    private static String lost(final CommitResult result, final CommitRequest request) {
        String winner = result.record()
                .map(record -> describe(record) + " came first: " + ValueFormatter.plain(record.message()))
                .orElse("the store holds no configuration");
        String expected = request.expectedVersion().isPresent()
                ? "expected version " + request.expectedVersion().getAsLong() + ", but "
                : "";
        return "not committed: " + expected + winner + "\n"
                + "Nothing was changed. See what changed with 'sequoiashunt history',"
                + " bring the manifest up to date and commit it again.\n";
    }

    private static String notCommitted(final CommitResult result) {
        return "not committed: " + result.detail() + "\n"
                + "This attempt has no effect. Repeat the command when the store is back; if an earlier attempt ended"
                + " with 'not known', repeat it with the commit id of that attempt.\n";
    }

    private static String notKnown(final CommitResult result) {
        return "not known whether the commit took effect: " + result.detail() + "\n"
                + "Repeat the same command with --commit-id " + result.commitId()
                + ": it never commits twice, and tells how this attempt ended.\n";
    }

    private static String describe(final CommitRecord record) {
        return "version " + record.version() + " by " + ValueFormatter.plain(record.author()) + " at "
                + ValueFormatter.time(record.atMs());
    }
}
