package org.sequoiashunt.configuration;

import java.util.Objects;

/**
 * Change of a service's traffic from one target version to another.
 *
 * <p>Immutable and thread-safe. A move is identified by its content: committing another part of the manifest does
 * not change the move, and committing another finish time creates a new move.
 *
 * @param from the version that has the traffic before the move.
 * @param to the version that has the traffic after the move.
 * @param finishByMs when the move must be finished, in milliseconds since the epoch.
 */
public record Move(String from, String to, long finishByMs) {

    /** Separates the parts of an identity; names of services and versions cannot contain it. */
    private static final String SEPARATOR = "_";

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     * @throws IllegalArgumentException if the two versions are equal.
     */
    public Move {
        Objects.requireNonNull(from, "from");
        Objects.requireNonNull(to, "to");
        if (from.equals(to)) {
            throw new IllegalArgumentException("move must have two different versions, but both are '" + from + "'");
        }
    }

    /**
     * Returns the identity of this move for a service.
     *
     * @param service the name of the service, not null.
     * @return a name that differs if the service, a version or the finish time differs, on the condition that names
     *     consist of letters, digits, dots and hyphens; usable in a store key.
     */
    public String identity(final String service) {
        return String.join(SEPARATOR, service, from, to, Long.toString(finishByMs));
    }
}
