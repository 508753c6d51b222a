package org.sequoiashunt.fleet;

import java.util.Objects;

/**
 * Outcome of an earlier move of a service to a version. It outlives the move, because targets of a version that was
 * rolled back may still run when the next move is ordered.
 *
 * <p>Immutable and thread-safe.
 *
 * @param version the version, not null.
 * @param order the store revision of the operator's request; the latest request for a version decides.
 * @param rolledBack true if the version was rolled back, false if the move to it completed.
 */
public record VersionVerdict(String version, long order, boolean rolledBack) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if the version is null.
     */
    public VersionVerdict {
        Objects.requireNonNull(version, "version");
    }

    /**
     * Returns whether this verdict replaces another one of the same version: it belongs to a later request, or to the
     * same one and permits the version. Nodes can end a move differently until its outcome is recorded; targets are
     * then not withheld.
     *
     * @param other the other verdict, not null.
     * @return true if this verdict replaces the other.
     */
    boolean supersedes(final VersionVerdict other) {
        return order != other.order ? order > other.order : other.rolledBack && !rolledBack;
    }
}
