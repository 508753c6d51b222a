package org.sequoiashunt.execution;

import java.util.Objects;
import java.util.Optional;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.peer.ControlMessage;

/**
 * Reply of a guard to a {@link ClaimRequest}.
 *
 * <p>Immutable and thread-safe. Invariant: a result is present exactly if the verdict is
 * {@link ClaimVerdict#HELD_DONE}.
 *
 * @param group the home group of the guard.
 * @param epoch the epoch of the newest roster that the guard has adopted, zero if none.
 * @param key the requested key.
 * @param attempt identity of the requesting attempt.
 * @param verdict whether the guard grants the key, or why not.
 * @param result how the attempt that holds the key ended; empty unless the verdict is
 *     {@link ClaimVerdict#HELD_DONE}.
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
            throw new IllegalArgumentException(
                    "claim reply: a result must be present exactly with verdict HELD_DONE, verdict: " + verdict);
        }
    }
}
