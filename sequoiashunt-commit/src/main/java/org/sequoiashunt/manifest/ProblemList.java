package org.sequoiashunt.manifest;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.yaml.snakeyaml.nodes.Node;

/**
 * Collects the errors and warnings about one file. Confined to one thread.
 */
final class ProblemList {

    /** Maximum number of errors, and of warnings, that are reported; a longer list is not read to its end. */
    private static final int MAXIMUM_PROBLEMS = 200;

    private final String file;
    private final List<Problem> errors = new ArrayList<>();
    private final List<Problem> warnings = new ArrayList<>();

    ProblemList(final String file) {
        this.file = Objects.requireNonNull(file, "file");
    }

    void error(final Node node, final String path, final String reason) {
        error(node, path, reason, Optional.empty());
    }

    void error(final Node node, final String path, final String reason, final Optional<String> suggestion) {
        errorAt(lineOf(node), path, reason, suggestion);
    }

    void errorAt(final int line, final String path, final String reason, final Optional<String> suggestion) {
        errors.add(new Problem(file, line, path, reason, suggestion));
    }

    void warning(final Node node, final String path, final String reason) {
        warnings.add(new Problem(file, lineOf(node), path, reason, Optional.empty()));
    }

    int errorCount() {
        return errors.size();
    }

    List<Problem> warnings() {
        return sortAndLimit(warnings);
    }

    void throwIfErrors() throws ManifestException {
        if (!errors.isEmpty()) {
            throw new ManifestException(sortAndLimit(errors));
        }
    }

    private List<Problem> sortAndLimit(final List<Problem> problems) {
        List<Problem> sorted = new ArrayList<>(problems);
        sorted.sort(Comparator.comparingInt(Problem::line));
        int omitted = sorted.size() - MAXIMUM_PROBLEMS;
        if (omitted > 0) {
            sorted.subList(MAXIMUM_PROBLEMS, sorted.size()).clear();
            int line = sorted.get(sorted.size() - 1).line();
            sorted.add(new Problem(file, line, "", omitted + " more problems from here on", Optional.empty()));
        }
        return sorted;
    }

    private static int lineOf(final Node node) {
        return node.getStartMark().getLine() + 1;
    }
}
