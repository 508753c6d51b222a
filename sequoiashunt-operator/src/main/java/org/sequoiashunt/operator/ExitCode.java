package org.sequoiashunt.operator;

/**
 * Exit codes of the {@code sequoiashunt} program; scripts depend on the numbers. Immutable and thread-safe.
 */
public enum ExitCode {
    /** The command succeeded. */
    OK(0, "done"),
    /** The input was invalid, nothing matched, or stored data or a file could not be read. */
    REFUSED(1, "refused: the manifest is invalid, or nothing matches"),
    /** The command line is wrong. */
    USAGE(2, "wrong command line"),
    /** The store did not answer; nothing was changed. */
    STORE_UNAVAILABLE(3, "the store is unavailable; nothing was changed"),
    /** A concurrent commit was accepted first; nothing was changed. */
    LOST_RACE(4, "another commit came first; nothing was changed"),
    /** It is not known whether the commit took effect. */
    NOT_KNOWN(5, "not known whether the commit took effect; repeat it with the same --commit-id");

    private final int status;
    private final String meaning;

    ExitCode(final int status, final String meaning) {
        this.status = status;
        this.meaning = meaning;
    }

    /**
     * Returns the exit status of the process.
     *
     * @return the status, from 0 to 5.
     */
    public int status() {
        return status;
    }

    /**
     * Returns the description shown in the help.
     *
     * @return one phrase, never null.
     */
    public String meaning() {
        return meaning;
    }
}
