package org.sequoiashunt.operator;

/**
 * Formats a status report as text. Not instantiable; thread-safe.
 */
final class StatusFormatter {

    private StatusFormatter() {}

    static String format(final StatusReport report) {
        StringBuilder text = new StringBuilder();
        text.append("version ")
                .append(report.version())
                .append(" by ")
                .append(ValueFormatter.replaceControlCharacters(report.author()));
        text.append(" at ").append(ValueFormatter.formatTime(report.atMs())).append('\n');
        report.problems()
                .forEach(problem -> appendLine(text, "PROBLEM: " + ValueFormatter.replaceControlCharacters(problem)));
        text.append("\nmoves\n");
        report.moves().forEach(move -> appendLine(text, MoveFormatter.formatStatus(move)));
        if (report.moves().isEmpty()) {
            appendLine(text, "none");
        }
        text.append("\nfailure domains\n");
        report.domains().forEach(domain -> appendDomain(text, domain, report.version()));
        if (report.domains().isEmpty()) {
            appendLine(text, "none has reported");
        }
        return text.toString();
    }

    private static void appendDomain(final StringBuilder text, final DomainStatus domain, final long version) {
        String region = domain.region().isEmpty() ? "" : " in " + domain.region();
        appendLine(
                text, domain.failureDomain() + region + ": " + formatState(domain, version) + formatReportAge(domain));
        domain.refusals()
                .forEach(refusal -> appendLine(text, "  refused: " + ValueFormatter.replaceControlCharacters(refusal)));
    }

    private static String formatState(final DomainStatus domain, final long version) {
        String nodes = ValueFormatter.formatCount(domain.members(), "node");
        return switch (domain.state()) {
            case IN_FORCE -> "version " + version + " in force, " + nodes;
            case NEWER -> "a newer version in force, the lowest is " + domain.lowestVersion() + ", " + nodes;
            case PARTLY ->
                "version " + version + " in force in part, the lowest is " + domain.lowestVersion() + ", " + nodes;
            case NOT_IN_FORCE -> "version " + version + " NOT in force, " + formatHighestVersion(domain) + ", " + nodes;
            case NO_REPORT -> "no report";
        };
    }

    private static String formatHighestVersion(final DomainStatus domain) {
        return domain.highestVersion() == 0 ? "no version yet" : "the highest is " + domain.highestVersion();
    }

    private static String formatReportAge(final DomainStatus domain) {
        if (domain.state() == DomainStatus.State.NO_REPORT || !domain.stale()) {
            return "";
        }
        return ", STALE: as of " + ValueFormatter.formatDuration(domain.ageMs()) + " ago";
    }

    private static void appendLine(final StringBuilder text, final String line) {
        text.append("  ").append(line).append('\n');
    }
}
