package org.sequoiashunt.operator;

import java.util.Objects;

/**
 * Exit code and output of a command. Immutable and thread-safe.
 *
 * @param code the exit code.
 * @param output the text for standard output, may be empty.
 * @param errors the text for standard error, may be empty.
 */
public record CommandResult(ExitCode code, String output, String errors) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     */
    public CommandResult {
        Objects.requireNonNull(code, "code");
        Objects.requireNonNull(output, "output");
        Objects.requireNonNull(errors, "errors");
    }

    /**
     * Creates the result of a command that succeeded.
     *
     * @param output the text for standard output, not null.
     * @return the result, never null.
     */
    public static CommandResult success(final String output) {
        return new CommandResult(ExitCode.OK, output, "");
    }

    /**
     * Creates the result of a command that failed.
     *
     * @param code the exit code, not null.
     * @param errors the text for standard error, not null.
     * @return the result, never null.
     */
    public static CommandResult failure(final ExitCode code, final String errors) {
        return new CommandResult(code, "", errors);
    }
}
