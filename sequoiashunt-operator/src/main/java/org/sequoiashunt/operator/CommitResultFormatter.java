package org.sequoiashunt.operator;

import org.sequoiashunt.commit.CommitRecord;
import org.sequoiashunt.commit.CommitRequest;
import org.sequoiashunt.commit.CommitResult;
import org.sequoiashunt.configuration.ServiceConfiguration;

/**
 * Formats the outcome of a commit and the next step for the operator. Not instantiable; thread-safe.
 */
final class CommitResultFormatter {

    private CommitResultFormatter() {}

    static CommandResult describe(final CommitResult result, final CommitRequest request, final String warnings) {
        return switch (result.outcome()) {
            case COMMITTED -> new CommandResult(ExitCode.OK, formatCommitted(result, request), warnings);
            case UNCHANGED -> new CommandResult(ExitCode.OK, formatUnchanged(result), warnings);
            case LOST_RACE -> CommandResult.failure(ExitCode.LOST_RACE, warnings + formatConflict(result, request));
            case NOT_COMMITTED ->
                CommandResult.failure(ExitCode.STORE_UNAVAILABLE, warnings + formatNotCommitted(result));
            case NOT_KNOWN -> CommandResult.failure(ExitCode.NOT_KNOWN, warnings + formatOutcomeUnknown(result));
        };
    }

    private static String formatCommitted(final CommitResult result, final CommitRequest request) {
        CommitRecord record = result.record().orElseThrow();
        StringBuilder text = new StringBuilder();
        text.append("committed as version ").append(record.version());
        text.append(" (commit id ").append(result.commitId()).append("): ");
        text.append(ValueFormatter.formatCount(record.parts().size(), "service"))
                .append('\n');
        for (ServiceConfiguration service : request.services().values()) {
            service.move()
                    .ifPresent(move -> text.append("  ")
                            .append(MoveFormatter.formatTitle(service.service(), move))
                            .append(": due ")
                            .append(ValueFormatter.formatTime(move.finishByMs()))
                            .append(move.finishByMs() <= record.atMs() ? ", which has passed already\n" : "\n"));
        }
        return text.toString();
    }

    private static String formatUnchanged(final CommitResult result) {
        return "nothing to change: " + describe(result.record().orElseThrow()) + " has the same content\n";
    }

    private static String formatConflict(final CommitResult result, final CommitRequest request) {
        String conflictingCommit = result.record()
                .map(record ->
                        describe(record) + " came first: " + ValueFormatter.replaceControlCharacters(record.message()))
                .orElse("the store holds no configuration");
        String expected = request.expectedVersion().isPresent()
                ? "expected version " + request.expectedVersion().getAsLong() + ", but "
                : "";
        return "not committed: " + expected + conflictingCommit + "\n"
                + "Nothing was changed. See what changed with 'sequoiashunt history',"
                + " bring the manifest up to date and commit it again.\n";
    }

    private static String formatNotCommitted(final CommitResult result) {
        return "not committed: " + result.detail() + "\n"
                + "This attempt has no effect. Repeat the command when the store is back; if an earlier attempt ended"
                + " with 'not known', repeat it with the commit id of that attempt.\n";
    }

    private static String formatOutcomeUnknown(final CommitResult result) {
        return "not known whether the commit took effect: " + result.detail() + "\n"
                + "Repeat the same command with --commit-id " + result.commitId()
                + ": it never commits twice, and tells how this attempt ended.\n";
    }

    private static String describe(final CommitRecord record) {
        return "version " + record.version() + " by " + ValueFormatter.replaceControlCharacters(record.author())
                + " at " + ValueFormatter.formatTime(record.atMs());
    }
}
