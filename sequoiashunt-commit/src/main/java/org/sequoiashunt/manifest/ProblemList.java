package org.sequoiashunt.manifest;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.yaml.snakeyaml.nodes.Node;

/**
 * Gathers the problems of one file. Confined to one thread.
 */
final class ProblemList {

    /** More problems than this are cut off, as nobody reads them. */
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
        return sorted(warnings);
    }

    void throwIfAny() throws ManifestException {
        if (!errors.isEmpty()) {
            throw new ManifestException(sorted(errors));
        }
    }

    private List<Problem> sorted(final List<Problem> problems) {
        List<Problem> first = new ArrayList<>(problems);
        first.sort(Comparator.comparingInt(Problem::line));
        int omitted = first.size() - MAXIMUM_PROBLEMS;
        if (omitted > 0) {
            first.subList(MAXIMUM_PROBLEMS, first.size()).clear();
            int line = first.get(first.size() - 1).line();
            first.add(new Problem(file, line, "", omitted + " more problems from here on", Optional.empty()));
        }
        return first;
    }

    private static int lineOf(final Node node) {
        return node.getStartMark().getLine() + 1;
    }
}
