package org.sequoiashunt.execution;

import java.util.Objects;
import org.sequoiashunt.peer.ControlMessage;

/**
 * Message that requests a guard to reserve a key for one attempt. The message is idempotent.
 *
 * <p>Immutable and thread-safe. The remaining time is relative, since the clocks of different nodes are never compared.
 *
 * @param group the home group of the guard.
 * @param epoch the epoch of the roster from which the guard was chosen.
 * @param key the key to reserve.
 * @param attempt identity of the attempt, unique over all nodes.
 * @param remainingMs how long the call may still take at the time of sending, in milliseconds.
 */
public record ClaimRequest(String group, long epoch, ClaimKey key, String attempt, long remainingMs)
        implements ControlMessage {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     */
    public ClaimRequest {
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(attempt, "attempt");
    }
}
