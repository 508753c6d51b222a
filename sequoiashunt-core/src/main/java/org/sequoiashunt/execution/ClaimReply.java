package org.sequoiashunt.execution;

import java.util.Objects;
import java.util.Optional;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.peer.ControlMessage;

/**
 * Answer of a guard to a {@link ClaimRequest}.
 *
 * <p>Immutable and thread-safe. Invariant: a result is present exactly if the verdict is
 * {@link ClaimVerdict#HELD_DONE}.
 *
 * @param group the home group of the guard.
 * @param epoch the epoch of the roster that the guard knows, zero if none.
 * @param key the key asked for.
 * @param attempt the attempt that asked.
 * @param verdict what the guard says.
 * @param result how the attempt that holds the key ended.
 */
public record ClaimReply(
        String group, long epoch, ClaimKey key, String attempt, ClaimVerdict verdict, Optional<CallResult> result)
        implements ControlMessage {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     * @throws IllegalArgumentException if the result does not fit the verdict.
     */
    public ClaimReply {
        Objects.requireNonNull(group, "group");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(attempt, "attempt");
        Objects.requireNonNull(verdict, "verdict");
        if (result.isPresent() != (verdict == ClaimVerdict.HELD_DONE)) {
            throw new IllegalArgumentException("result and verdict do not fit: " + verdict);
        }
    }
}
