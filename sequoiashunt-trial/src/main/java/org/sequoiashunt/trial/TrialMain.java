package org.sequoiashunt.trial;

import java.util.Arrays;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.sequoiashunt.trial.demonstration.Demonstration;

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

    /** Kept, since a logger that nothing refers to loses its level. */
    private static final Logger UNDERTOW = Logger.getLogger("io.undertow");

    private TrialMain() {}

    /**
     * Runs one trial.
     *
     * @param arguments the command and its options.
     * @throws Exception if the trial cannot be run.
     */
    public static void main(final String[] arguments) throws Exception {
        UNDERTOW.setLevel(Level.WARNING);
        System.exit(run(List.of(arguments)));
    }

    private static int run(final List<String> arguments) throws Exception {
        if (arguments.isEmpty()) {
            return usage();
        }
        return switch (arguments.get(0)) {
            case "demonstrate" -> Demonstration.run(System.out) ? EXIT_PASSED : EXIT_FAILED;
            default -> usage();
        };
    }

    private static int usage() {
        System.err.println("commands: " + String.join(", ", Arrays.asList("demonstrate")));
        return EXIT_USAGE;
    }
}
