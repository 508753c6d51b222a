package org.sequoiashunt.node;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.jboss.logging.Logger;
import org.sequoiashunt.lifecycle.ResourceCloseException;

/**
 * Starts a node: {@code sequoiashunt-node --settings FILE [--check]}.
 *
 * <p>Exit codes: 0 after a drain or a check without problems, 1 if settings are invalid or an address cannot be bound,
 * 2 for wrong arguments. Not thread-safe: only the main thread uses it.
 */
public final class NodeMain {

    private static final int EXIT_OK = 0;
    private static final int EXIT_INVALID_SETTINGS = 1;
    private static final int EXIT_USAGE = 2;
    private static final Logger LOGGER = Logger.getLogger(NodeMain.class);

    @Parameter(names = "--settings", description = "YAML file with the settings of this node")
    private String settingsFile;

    @Parameter(names = "--check", description = "Check the settings and exit")
    private boolean check;

    @Parameter(names = "--help", help = true, description = "Show this text")
    private boolean help;

    private NodeMain() {}

    /**
     * Runs the program.
     *
     * @param arguments the arguments of the command line.
     * @throws InterruptedException if the main thread is interrupted.
     */
    public static void main(final String[] arguments) throws InterruptedException {
        System.exit(new NodeMain().run(arguments));
    }

    private int run(final String[] arguments) throws InterruptedException {
        JCommander commander = JCommander.newBuilder()
                .programName("sequoiashunt-node")
                .addObject(this)
                .build();
        try {
            commander.parse(arguments);
        } catch (ParameterException exception) {
            System.err.println(exception.getMessage());
            return EXIT_USAGE;
        }
        if (help || settingsFile == null) {
            commander.usage();
            return help ? EXIT_OK : EXIT_USAGE;
        }
        return runWithSettings();
    }

    private int runWithSettings() throws InterruptedException {
        try {
            NodeSettings settings = SettingsReader.read(Path.of(settingsFile));
            if (check) {
                System.out.println("settings are valid");
                return EXIT_OK;
            }
            serve(settings);
            return EXIT_OK;
        } catch (SettingsException exception) {
            exception.problems().forEach(problem -> System.err.println(settingsFile + ": " + problem));
            return EXIT_INVALID_SETTINGS;
        } catch (IOException exception) {
            System.err.println(settingsFile + ": " + exception.getMessage());
            return EXIT_INVALID_SETTINGS;
        }
    }

    private static void serve(final NodeSettings settings) throws IOException, InterruptedException {
        NodeServer server = NodeServer.open(settings);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(server), "shutdown"));
        LOGGER.infof("node started node=%s failureDomain=%s", settings.node(), settings.failureDomain());
        new CountDownLatch(1).await();
    }

    /** Halts the process with exit code 0: after a signal, the JVM would exit with the code of the signal. */
    private static void shutDown(final NodeServer server) {
        try {
            server.drain();
            server.close();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return;
        } catch (ResourceCloseException exception) {
            LOGGER.warn("resources of the node could not be closed", exception);
        }
        Runtime.getRuntime().halt(EXIT_OK);
    }
}
