package org.sequoiashunt.trial.execution;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.sequoiashunt.execution.ClaimRule;

/**
 * Runs seeded schedules of the claim model, with all rules or with each rule off in turn, and prints what it found.
 *
 * <p>Confined to one thread.
 */
@Parameters(commandDescription = "Search schedules of faults for a key that runs twice")
public final class ExecutionCommand {

    @Parameter(names = "--schedules", description = "Number of schedules for each set of rules")
    private int schedules = 1_000;

    @Parameter(names = "--seed", description = "Seed of the first schedule")
    private long seed = 1;

    @Parameter(names = "--each-rule", description = "Also run with each rule off in turn")
    private boolean eachRule;

    @Parameter(names = "--without", description = "Run with this one rule off")
    private ClaimRule without;

    @Parameter(names = "--stop-at-first", description = "With a rule off, stop at the first contradiction")
    private boolean stopAtFirst;

    /**
     * Runs the command.
     *
     * @param out where the report goes, not null.
     * @return zero if no contradiction was found with all rules on.
     */
    public int run(final PrintStream out) {
        if (without != null) {
            search("without " + without, ClaimRule.allBut(without), stopAtFirst, out);
            return 0;
        }
        int found = search("all rules", ClaimRule.all(), false, out);
        if (eachRule) {
            for (ClaimRule rule : ClaimRule.values()) {
                search("without " + rule, ClaimRule.allBut(rule), stopAtFirst, out);
            }
        }
        return found == 0 ? 0 : 1;
    }

    /**
     * Runs the command alone.
     *
     * @param arguments the arguments, not null.
     */
    public static void main(final String[] arguments) {
        ExecutionCommand command = new ExecutionCommand();
        JCommander.newBuilder().addObject(command).build().parse(arguments);
        System.exit(command.run(System.out));
    }

    private int search(final String title, final Set<ClaimRule> rules, final boolean stopEarly, final PrintStream out) {
        Totals totals = new Totals();
        List<String> found = new ArrayList<>();
        int index = 0;
        for (; index < schedules && !(stopEarly && !found.isEmpty()); index++) {
            ScheduleReport report = ClaimModel.run(seed + index, rules);
            totals.add(report);
            if (!report.contradictions().isEmpty()) {
                found.add("seed " + (seed + index) + ": "
                        + report.contradictions().get(0));
            }
        }
        out.println(title + ": " + found.size() + " of " + index + " schedules contradict; " + totals);
        found.stream().limit(3).forEach(line -> out.println("  " + line));
        return found.size();
    }

    /** Sums over schedules. Confined to one thread. */
    private static final class Totals {

        private long keys;
        private long requests;
        private long keysRun;
        private long answered;
        private long notRun;
        private long notRunOfRunKeys;
        private long unknown;

        private void add(final ScheduleReport report) {
            keys += report.keys();
            requests += report.requests();
            keysRun += report.keysRun();
            answered += report.answered();
            notRun += report.notRun();
            notRunOfRunKeys += report.notRunOfRunKeys();
            unknown += report.unknown();
        }

        @Override
        public String toString() {
            return keys + " keys, " + requests + " requests, " + keysRun + " keys run, " + answered + " answered, "
                    + notRun + " not-run (" + notRunOfRunKeys + " of keys run before), " + unknown + " unknown";
        }
    }
}
