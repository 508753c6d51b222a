package org.sequoiashunt.trial.rollout;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * Figures over all trials of one kind under one policy. Immutable and thread-safe.
 *
 * @param policy the policy.
 * @param kind the kind of version.
 * @param results what happened in each trial.
 */
record TrialSummary(TrialPolicy policy, VersionKind kind, List<TrialResult> results) {

    private static final String HEADER = "%-18s %-21s %7s %8s %7s %8s %8s %8s %9s %8s %7s %7s%n";
    private static final String LINE =
            "%-18s %-21s %6.1f%% %7.1f%% %6.1f%% %7.2f%% %8.1f %8.1f %8.2f%% %7.1f%% %7.1f %7.1f%n";
    private static final double PERCENT = 100;
    private static final double MS_PER_SECOND = 1_000;

    /** Copies the list. */
    TrialSummary {
        results = List.copyOf(results);
    }

    /**
     * Prints what the columns hold.
     *
     * @param out where to print, not null.
     */
    static void printHeader(final PrintStream out) {
        out.printf(
                Locale.ROOT,
                HEADER,
                "policy",
                "kind",
                "done",
                "in time",
                "back",
                "before",
                "after",
                "after 2s",
                "share 2s",
                "none 2s",
                "p50 s",
                "p95 s");
    }

    /**
     * Prints the figures as one line.
     *
     * @param out where to print, not null.
     */
    void print(final PrintStream out) {
        double[] delays = delaysSeconds();
        out.printf(
                Locale.ROOT,
                LINE,
                policy.name().toLowerCase(Locale.ROOT),
                kind.name().toLowerCase(Locale.ROOT),
                percent(TrialResult::done),
                percent(TrialResult::inTime),
                percent(TrialResult::takenBack),
                ofBad(PERCENT * sum(TrialResult::newBefore) / sum(TrialResult::requestsBefore)),
                ofBad(sum(TrialResult::newAfter) / results.size()),
                ofBad(sum(TrialResult::newAfterTwoSeconds) / results.size()),
                ofBad(PERCENT * sum(TrialResult::newAfterTwoSeconds) / sum(TrialResult::requests)),
                ofBad(percent(result -> result.newAfterTwoSeconds() == 0)),
                quantile(delays, 0.5),
                quantile(delays, 0.95));
    }

    private double ofBad(final double figure) {
        return kind.isBad() ? figure : Double.NaN;
    }

    private double sum(final ToLongFunction<TrialResult> figure) {
        return results.stream().mapToLong(figure).sum();
    }

    private double percent(final Predicate<TrialResult> condition) {
        return PERCENT * results.stream().filter(condition).count() / results.size();
    }

    private double[] delaysSeconds() {
        return results.stream()
                .filter(result ->
                        result.shownMs().isPresent() && result.takenBackMs().isPresent())
                .mapToDouble(result ->
                        (result.takenBackMs().getAsLong() - result.shownMs().getAsLong()) / MS_PER_SECOND)
                .sorted()
                .toArray();
    }

    private static double quantile(final double[] sorted, final double fraction) {
        return sorted.length == 0 ? Double.NaN : sorted[(int) Math.min(sorted.length - 1, fraction * sorted.length)];
    }
}
