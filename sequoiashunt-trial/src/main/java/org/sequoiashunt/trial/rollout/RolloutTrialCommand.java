package org.sequoiashunt.trial.rollout;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Command {@code rollout}: compares rollout policies over seeded trials and prints one line per policy and kind.
 *
 * <p>Confined to one thread, which spreads the trials over a few more. The same seed gives the same figures.
 */
@Parameters(commandNames = "rollout", commandDescription = "Compare rollout policies over seeded trials")
public final class RolloutTrialCommand {

    @Parameter(names = "--trials", description = "Trials for each kind of version and policy")
    private int trials = 100;

    @Parameter(names = "--seed", description = "Seed of the first trial")
    private long seed = 1;

    @Parameter(names = "--policy", description = "Only this policy")
    private TrialPolicy onlyPolicy;

    @Parameter(names = "--kind", description = "Only this kind of version")
    private VersionKind onlyKind;

    @Parameter(names = "--rate", description = "Requests a second in every trial; drawn if zero")
    private int rate;

    @Parameter(names = "--bad", description = "Only bad versions")
    private boolean onlyBad;

    @Parameter(names = "--verbose", description = "Print each trial that ended wrongly, or all of a single kind")
    private boolean verbose;

    /**
     * Runs the command.
     *
     * @param arguments the command line, not null.
     */
    public static void main(final String[] arguments) {
        RolloutTrialCommand command = new RolloutTrialCommand();
        JCommander.newBuilder().addObject(command).build().parse(arguments);
        command.run(System.out);
    }

    /**
     * Runs the trials and prints the figures.
     *
     * @param out where to print, not null.
     */
    public void run(final PrintStream out) {
        out.println("rollout trials: " + trials + " per line, seed " + seed);
        TrialSummary.printHeader(out);
        for (TrialPolicy policy : TrialPolicy.values()) {
            for (VersionKind kind : VersionKind.values()) {
                boolean wanted = (onlyPolicy == null || onlyPolicy == policy)
                        && (onlyKind == null || onlyKind == kind)
                        && (!onlyBad || kind.isBad());
                if (wanted) {
                    runKind(out, policy, kind);
                }
            }
        }
    }

    private void runKind(final PrintStream out, final TrialPolicy policy, final VersionKind kind) {
        List<TrialResult> results = IntStream.range(0, trials)
                .parallel()
                .mapToObj(trial -> new RolloutTrial(kind, policy, rate, seed + trial).run())
                .toList();
        new TrialSummary(policy, kind, results).print(out);
        if (verbose) {
            for (int trial = 0; trial < trials; trial++) {
                printIfWrong(out, kind, seed + trial, results.get(trial));
            }
        }
    }

    private static void printIfWrong(
            final PrintStream out, final VersionKind kind, final long trialSeed, final TrialResult result) {
        boolean right = kind.isBad() ? result.takenBack() : result.inTime();
        if (!right) {
            out.println("  seed " + trialSeed + ": " + result);
        }
    }
}
