package org.sequoiashunt.operator;

/**
 * Exit codes of the command, for scripts. Immutable and thread-safe.
 */
public enum ExitCode {
    /** The command did what was asked. */
    OK(0, "done"),
    /** The input or the request was refused. */
    REFUSED(1, "refused: the manifest is invalid, or nothing matches"),
    /** The command line is wrong. */
    USAGE(2, "wrong command line"),
    /** The store did not answer; nothing was changed. */
    STORE_UNAVAILABLE(3, "the store is unavailable; nothing was changed"),
    /** Another commit came first. */
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
     * Returns the status with which the process ends.
     *
     * @return the status, from 0 to 5.
     */
    public int status() {
        return status;
    }

    /**
     * Returns what the status means.
     *
     * @return one phrase, never null.
     */
    public String meaning() {
        return meaning;
    }
}
