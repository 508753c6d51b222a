package org.sequoiashunt.trial.overload;

import com.beust.jcommander.IStringConverter;
import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import org.sequoiashunt.placement.PlacementPolicy;

/**
 * Command {@code overload}: replays load patterns over the decisions of a mesh and prints what was served.
 *
 * <p>Confined to one thread. The same seed gives the same figures.
 */
@Parameters(commandNames = "overload", commandDescription = "Replay load patterns over the decisions of a mesh")
public final class OverloadCommand {

    /** Load of the first deployment at which its slots are just too few, and of the second one just enough. */
    private static final double SHORT_WORK_LOAD = 1.37;

    private static final double LONG_WORK_LOAD = 1.37;

    @Parameter(names = "--seed", description = "Seed of the first run")
    private long seed = 1;

    @Parameter(names = "--runs", description = "Runs for each pattern")
    private int runs = 3;

    @Parameter(names = "--load", description = "Load, as a part of the ordinary one; 0 for the load of the worst days")
    private double load;

    @Parameter(names = "--pattern", description = "Only this pattern")
    private LoadPattern onlyPattern;

    @Parameter(names = "--picture", description = "Print a bar for each second of the first run")
    private boolean picture;

    @Parameter(names = "--placements", description = "Compare the policies of placement")
    private boolean placements;

    @Parameter(names = "--placement", description = "Compare only this policy", converter = PolicyConverter.class)
    private PlacementPolicy onlyPlacement;

    /**
     * Runs the command.
     *
     * @param arguments the command line, not null.
     */
    public static void main(final String[] arguments) {
        OverloadCommand command = new OverloadCommand();
        JCommander.newBuilder().addObject(command).build().parse(arguments);
        command.run(System.out);
    }

    private void run(final PrintStream out) {
        if (placements || onlyPlacement != null) {
            new PlacementComparison(out, seed, runs).run(onlyPlacement);
            return;
        }
        for (LoadPattern pattern : LoadPattern.values()) {
            if (onlyPattern == null || onlyPattern == pattern) {
                run(out, LoadScenario.shortWork(pattern, load > 0 ? load : SHORT_WORK_LOAD));
                run(out, LoadScenario.longWork(pattern, load > 0 ? load : LONG_WORK_LOAD));
            }
        }
    }

    /** Reads the name of a policy. Immutable and thread-safe. */
    public static final class PolicyConverter implements IStringConverter<PlacementPolicy> {

        @Override
        public PlacementPolicy convert(final String name) {
            return PlacementPolicy.of(name);
        }
    }

    private void run(final PrintStream out, final LoadScenario scenario) {
        for (int run = 0; run < runs; run++) {
            LoadStatistics tally = LoadExperiment.run(scenario, seed + run);
            out.printf("%s %s seed %d: ", scenario.name(), scenario.pattern(), seed + run);
            tally.print(out);
            if (picture && run == 0) {
                tally.printPicture(out);
            }
        }
    }
}
