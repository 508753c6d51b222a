package org.sequoiashunt.trial;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.sequoiashunt.trial.demonstration.Demonstration;
import org.sequoiashunt.trial.execution.ClaimCostCommand;
import org.sequoiashunt.trial.execution.ExecutionCommand;
import org.sequoiashunt.trial.measurement.Measurement;
import org.sequoiashunt.trial.overload.OverloadCommand;
import org.sequoiashunt.trial.replication.ReplicationTrial;
import org.sequoiashunt.trial.rollout.RolloutTrialCommand;

/**
 * Runs trials: {@code sequoiashunt-trial COMMAND [OPTIONS]}.
 *
 * <p>Exit codes: 0 if the trial passed, 1 if it failed, 2 for a wrong command. Not thread-safe: used by the main thread
 * alone.
 */
public final class TrialMain {

    private static final int EXIT_PASSED = 0;
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;
    private static final int MEASUREMENT_SECONDS = 30;

    /** Kept, since a logger that nothing refers to loses its level. */
    private static final List<Logger> QUIET = List.of(Logger.getLogger("io.undertow"), Logger.getLogger("org.xnio"));

    private TrialMain() {}

    /**
     * Runs one trial.
     *
     * @param arguments the command and its options.
     * @throws Exception if the trial cannot be run.
     */
    public static void main(final String[] arguments) throws Exception {
        QUIET.forEach(logger -> logger.setLevel(Level.WARNING));
        System.exit(run(List.of(arguments)));
    }

    private static int run(final List<String> arguments) throws Exception {
        Map<String, Trial> trials = trials();
        if (arguments.isEmpty() || !trials.containsKey(arguments.get(0))) {
            System.err.println("commands: " + String.join(", ", trials.keySet()));
            return EXIT_USAGE;
        }
        List<String> options = arguments.subList(1, arguments.size());
        return trials.get(arguments.get(0)).run(options) ? EXIT_PASSED : EXIT_FAILED;
    }

    private static Map<String, Trial> trials() {
        Map<String, Trial> trials = new TreeMap<>();
        trials.put("demonstrate", options -> Demonstration.run(System.out));
        trials.put("measure", options -> Measurement.run(System.out, seconds(options)));
        trials.put("replication", options -> {
            ReplicationTrial.run(options, System.out);
            return true;
        });
        trials.put("rollout", options -> {
            RolloutTrialCommand.main(options.toArray(String[]::new));
            return true;
        });
        trials.put("execution", options -> {
            ExecutionCommand.main(options.toArray(String[]::new));
            return true;
        });
        trials.put("overload", options -> {
            OverloadCommand.main(options.toArray(String[]::new));
            return true;
        });
        trials.put("claim-cost", options -> {
            ClaimCostCommand.main(options.toArray(String[]::new));
            return true;
        });
        return trials;
    }

    private static int seconds(final List<String> options) {
        return options.isEmpty() ? MEASUREMENT_SECONDS : Integer.parseInt(options.get(0));
    }

    /** One trial. Implementations are stateless. */
    @FunctionalInterface
    private interface Trial {

        /** Runs the trial and tells whether it passed. */
        boolean run(List<String> options) throws Exception;
    }
}
