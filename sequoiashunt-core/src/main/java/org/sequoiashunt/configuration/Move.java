package org.sequoiashunt.configuration;

import java.util.Objects;

/**
 * Change of a service's traffic from one target version to another.
 *
 * <p>Immutable and thread-safe. A move is identified by its content: committing another part of the manifest leaves a
 * move alone, and committing a new time makes a new move.
 *
 * @param from the version that has the traffic.
 * @param to the version that is to have it.
 * @param finishByMs when the move must be finished, in milliseconds since the epoch.
 */
public record Move(String from, String to, long finishByMs) {

    /** Separates the parts of an identity; a character that names of services and versions cannot contain. */
    private static final String SEPARATOR = "_";

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     * @throws IllegalArgumentException if both versions are the same.
     */
    public Move {
        Objects.requireNonNull(from, "from");
        Objects.requireNonNull(to, "to");
        if (from.equals(to)) {
            throw new IllegalArgumentException("a move needs two versions but both are '" + from + "'");
        }
    }

    /**
     * Returns the identity of this move of a service.
     *
     * @param service the name of the service, not null.
     * @return a name that differs whenever service, versions or time differ, on the condition that names consist of
     *     letters, digits, dots and hyphens; fit for a key of the store.
     */
    public String identity(final String service) {
        return String.join(SEPARATOR, service, from, to, Long.toString(finishByMs));
    }
}
