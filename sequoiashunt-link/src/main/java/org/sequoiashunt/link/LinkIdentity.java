package org.sequoiashunt.link;

import java.util.Objects;

/**
 * Process at one end of a link. Two processes never have the same identity: a restarted node has a new incarnation.
 *
 * <p>Immutable and thread-safe.
 *
 * @param node the name of the node, neither null nor empty.
 * @param incarnation number of the process, different for each start of the node.
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
