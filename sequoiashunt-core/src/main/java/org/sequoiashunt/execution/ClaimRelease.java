package org.sequoiashunt.execution;

import java.util.Objects;
import org.sequoiashunt.peer.ControlMessage;

/**
 * Message to a guard that an attempt did not run and never will, so that a later attempt with the key may run. Only the
 * entry that created the attempt may send the message. The message is idempotent and may arrive before the
 * {@link ClaimRequest} of the attempt.
 *
 * <p>Immutable and thread-safe.
 *
 * @param group the home group of the guard.
 * @param key the key that the attempt claimed.
 * @param attempt identity of the attempt that ended.
 */
public record ClaimRelease(String group, ClaimKey key, String attempt) implements ControlMessage {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     */
    public ClaimRelease {
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(attempt, "attempt");
    }
}
