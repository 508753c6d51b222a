package org.sequoiashunt.membership;

import java.util.Objects;

/**
 * A target as its node announces it to the other nodes.
 *
 * <p>Immutable and thread-safe. Invariant: slots are at least one.
 *
 * @param target the name of the target, unique on its node.
 * @param service the service that the target runs.
 * @param targetVersion the version of the service that it runs.
 * @param slots how many requests it runs at a time.
 * @param state whether it takes new work.
 */
public record ServedTarget(String target, String service, String targetVersion, int slots, MemberState state) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     * @throws IllegalArgumentException if there is no slot.
     */
    public ServedTarget {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(targetVersion, "targetVersion");
        Objects.requireNonNull(state, "state");
        if (slots < 1) {
            throw new IllegalArgumentException("slots must be positive: " + slots);
        }
    }
}
