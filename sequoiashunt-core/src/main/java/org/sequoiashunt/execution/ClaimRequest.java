package org.sequoiashunt.execution;

import java.util.Objects;
import org.sequoiashunt.peer.ControlMessage;

/**
 * Asks a guard to reserve a key for one attempt. Repeating it is harmless.
 *
 * <p>Immutable and thread-safe. Time is relative, since the clocks of nodes are not compared.
 *
 * @param group the home group whose guard is asked.
 * @param epoch the epoch of the roster by which the guard was chosen.
 * @param key the key to reserve.
 * @param attempt identity of the attempt, unique over all nodes.
 * @param remainingMs how long the call may still take, in milliseconds, as of sending.
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
