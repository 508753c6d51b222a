package org.sequoiashunt.manifest;

import java.util.Objects;
import java.util.Optional;

/**
 * Error or warning about one place in a manifest.
 *
 * <p>Immutable and thread-safe.
 *
 * @param file the name of the file that was passed to the reader.
 * @param line the line, counted from 1.
 * @param path the path of the key, such as {@code services.lot-ledger.routes[0].path}, empty for the whole file.
 * @param reason the description of the problem.
 * @param suggestion the text that may have been intended, empty if there is none.
 */
public record Problem(String file, int line, String path, String reason, Optional<String> suggestion) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     */
    public Problem {
        Objects.requireNonNull(file, "file");
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(suggestion, "suggestion");
    }

    @Override
    public String toString() {
        String where = path.isEmpty() ? "" : path + ": ";
        String hint = suggestion.map(text -> "; did you mean " + text + "?").orElse("");
        return file + ":" + line + ": " + where + reason + hint;
    }
}
