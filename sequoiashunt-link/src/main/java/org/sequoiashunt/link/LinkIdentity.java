package org.sequoiashunt.link;

import java.util.Objects;

/**
 * Identifies the process at one end of a link. A restarted node has a new incarnation, so no two processes share an
 * identity.
 *
 * <p>Immutable and thread-safe.
 *
 * @param node the name of the node, neither null nor empty.
 * @param incarnation number that differs for each start of the node.
 */
public record LinkIdentity(String node, long incarnation) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if the name is null.
     * @throws IllegalArgumentException if the name is empty.
     */
    public LinkIdentity {
        Objects.requireNonNull(node, "node");
        if (node.isEmpty()) {
            throw new IllegalArgumentException("node must not be empty");
        }
    }
}
