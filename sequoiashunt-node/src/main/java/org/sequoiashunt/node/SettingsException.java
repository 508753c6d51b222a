package org.sequoiashunt.node;

import java.util.List;

/**
 * Reports all problems of a settings file. Immutable and thread-safe.
 */
public final class SettingsException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient List<String> problems;

    /**
     * Creates an exception.
     *
     * @param problems one line for each problem, not empty.
     */
    public SettingsException(final List<String> problems) {
        super(String.join(System.lineSeparator(), problems));
        this.problems = List.copyOf(problems);
    }

    /**
     * Returns the problems.
     *
     * @return one line for each problem, in the order in which the keys are checked; not empty.
     */
    public List<String> problems() {
        return problems;
    }
}
