package org.sequoiashunt.trial.rollout;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;

/**
 * Figures over all trials of one kind under one policy. Immutable and thread-safe.
 *
 * @param policy the policy.
 * @param kind the kind of version.
 * @param results what happened in each trial.
 */
record TrialSummary(TrialPolicy policy, VersionKind kind, List<TrialResult> results) {

    private static final String HEADER = "%-18s %-21s %7s %8s %8s %9s %9s %9s %9s %9s %9s%n";
    private static final String LINE = "%-18s %-21s %6.1f%% %7.1f%% %7.1f%% %8.2f%% %9.1f %9.1f %8.1f%% %9.1f %9.1f%n";
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
        long requestsBefore =
                results.stream().mapToLong(TrialResult::requestsBefore).sum();
        long newBefore = results.stream().mapToLong(TrialResult::newBefore).sum();
        double[] delays = delaysSeconds();
        out.printf(
                Locale.ROOT,
                LINE,
                policy.name().toLowerCase(Locale.ROOT),
                kind.name().toLowerCase(Locale.ROOT),
                percent(results.stream().filter(TrialResult::done).count()),
                percent(results.stream().filter(TrialResult::inTime).count()),
                percent(results.stream().filter(TrialResult::takenBack).count()),
                requestsBefore == 0 ? 0 : PERCENT * newBefore / requestsBefore,
                results.stream().mapToLong(TrialResult::newAfter).average().orElse(0),
                results.stream()
                        .mapToLong(TrialResult::newAfterTwoSeconds)
                        .average()
                        .orElse(0),
                percent(results.stream()
                        .filter(result -> result.newAfterTwoSeconds() == 0)
                        .count()),
                quantile(delays, 0.5),
                quantile(delays, 0.95));
    }

    private double percent(final long count) {
        return PERCENT * count / results.size();
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
