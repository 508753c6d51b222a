package org.sequoiashunt.execution;

import java.util.Objects;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.peer.ControlMessage;

/**
 * Message to a guard that reports how the attempt that holds a key ended, so that a resend gets the same answer.
 *
 * <p>Immutable and thread-safe.
 *
 * @param group the home group of the guard.
 * @param key the key that the attempt claimed.
 * @param attempt identity of the attempt that holds the key.
 * @param result how the attempt ended.
 */
public record ClaimOutcome(String group, ClaimKey key, String attempt, CallResult result) implements ControlMessage {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     */
    public ClaimOutcome {
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(attempt, "attempt");
        Objects.requireNonNull(result, "result");
    }
}
