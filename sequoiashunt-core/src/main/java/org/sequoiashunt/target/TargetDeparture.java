package org.sequoiashunt.target;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * Departure of an incarnation of a target, which gets no new requests from then on. It binds beyond the process that
 * acknowledged it, so it is made known outside before.
 *
 * <p>Immutable and thread-safe. Invariant: the identity is not empty.
 *
 * @param target the identity of the target, not empty.
 * @param startedAtMs the start time of the incarnation in milliseconds of the target's clock; earlier incarnations have
 *     departed as well. Empty if the node does not know the incarnation that asked to leave.
 */
public record TargetDeparture(String target, OptionalLong startedAtMs) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     * @throws IllegalArgumentException if the identity is empty.
     */
    public TargetDeparture {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(startedAtMs, "startedAtMs");
        if (target.isEmpty()) {
            throw new IllegalArgumentException("target identity must not be empty");
        }
    }
}
