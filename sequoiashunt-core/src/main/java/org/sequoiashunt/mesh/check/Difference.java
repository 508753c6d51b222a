package org.sequoiashunt.mesh.check;

import java.util.Objects;

/**
 * One difference between two configurations.
 *
 * <p>Immutable and thread-safe. Invariant: no component holds a key of an organisation.
 *
 * @param change what happened to the entry.
 * @param place the entry.
 * @param detail what differs; empty for an entry that was removed.
 */
public record Difference(Change change, String place, String detail) {

    /** What happened to an entry. Immutable and thread-safe. */
    public enum Change {
        /** Only the later configuration has the entry. */
        ADDED,
        /** Only the earlier configuration has the entry. */
        REMOVED,
        /** Both have the entry, and it differs. */
        CHANGED
    }

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     */
    public Difference {
        Objects.requireNonNull(change, "change");
        Objects.requireNonNull(place, "place");
        Objects.requireNonNull(detail, "detail");
    }
}
