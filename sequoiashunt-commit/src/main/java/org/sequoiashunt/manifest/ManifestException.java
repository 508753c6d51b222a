package org.sequoiashunt.manifest;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Reports all errors in a manifest. Immutable and thread-safe.
 */
public final class ManifestException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient List<Problem> problems;

    /**
     * Creates an exception.
     *
     * @param problems the errors, ordered by line, neither null nor empty.
     */
    public ManifestException(final List<Problem> problems) {
        super(problems.stream().map(Problem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /**
     * Returns the errors.
     *
     * @return the errors, ordered by line, never empty.
     */
    public List<Problem> problems() {
        return problems;
    }
}
