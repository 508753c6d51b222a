package org.sequoiashunt.operator;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import org.sequoiashunt.commit.UnreadableValueException;
import org.sequoiashunt.configuration.ConfigurationException;
import org.sequoiashunt.manifest.ManifestException;
import org.sequoiashunt.store.StoreException;

/**
 * Parses a command line, runs its command and converts each checked failure to an exit code and a message.
 *
 * <p>Each call of {@link #run} is independent. As thread-safe as its environment.
 */
public final class OperatorCommandLine {

    private static final String PROGRAM = "sequoiashunt";
    private static final int HELP_WIDTH = 110;

    private final OperatorEnvironment environment;

    private OperatorCommandLine(final OperatorEnvironment environment) {
        this.environment = Objects.requireNonNull(environment, "environment");
    }

    /**
     * Creates a runner of command lines.
     *
     * @param environment what commands use, not null.
     * @return a new runner, never null.
     */
    public static OperatorCommandLine of(final OperatorEnvironment environment) {
        return new OperatorCommandLine(environment);
    }

    /**
     * Runs a command line.
     *
     * @param arguments the command and its options, without the program name, not null.
     * @return the exit code and the texts for standard output and standard error, never null.
     */
    public CommandResult run(final String... arguments) {
        HelpOption help = new HelpOption();
        Map<String, Command> commands = createCommands();
        JCommander.Builder builder = JCommander.newBuilder()
                .programName(PROGRAM)
                .columnSize(HELP_WIDTH)
                .addObject(help);
        commands.forEach(builder::addCommand);
        JCommander parser = builder.build();
        try {
            parser.parse(arguments);
            Command command = commands.get(String.valueOf(parser.getParsedCommand()));
            if (help.isRequested()) {
                return CommandResult.success(formatGeneralHelp(parser));
            }
            if (command == null) {
                throw new UsageException("name a command: " + String.join(", ", commands.keySet()));
            }
            if (command.helpRequested()) {
                return CommandResult.success(formatCommandHelp(parser));
            }
            return runCommand(command);
        } catch (ParameterException | UsageException exception) {
            return CommandResult.failure(ExitCode.USAGE, exception.getMessage() + "\nSee '" + PROGRAM + " --help'.\n");
        }
    }

    private CommandResult runCommand(final Command command) throws UsageException {
        try {
            return command.run(environment);
        } catch (ManifestException | ConfigurationException | UnreadableValueException | IOException exception) {
            return CommandResult.failure(ExitCode.REFUSED, exception.getMessage() + "\n");
        } catch (StoreException exception) {
            return CommandResult.failure(
                    ExitCode.STORE_UNAVAILABLE, "the store is unavailable: " + exception.getMessage() + "\n");
        }
    }

    private static Map<String, Command> createCommands() {
        Map<String, Command> commands = new LinkedHashMap<>();
        commands.put("validate", new ValidateCommand());
        commands.put("commit", new CommitCommand());
        commands.put("status", new StatusCommand());
        commands.put("history", new HistoryCommand());
        commands.put("explain", new ExplainCommand());
        return commands;
    }

    private static String formatGeneralHelp(final JCommander parser) {
        StringBuilder text = new StringBuilder();
        parser.getUsageFormatter().usage(text);
        text.append("\n  Exit codes:\n");
        for (ExitCode code : ExitCode.values()) {
            text.append("    ")
                    .append(code.status())
                    .append("  ")
                    .append(code.meaning())
                    .append('\n');
        }
        return text.toString();
    }

    private static String formatCommandHelp(final JCommander parser) {
        StringBuilder text = new StringBuilder();
        parser.getUsageFormatter().usage(parser.getParsedCommand(), text);
        return text.toString();
    }
}
