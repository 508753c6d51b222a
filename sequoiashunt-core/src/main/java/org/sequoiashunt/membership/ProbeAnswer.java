package org.sequoiashunt.membership;

import java.util.Objects;
import org.sequoiashunt.peer.ControlMessage;

/**
 * Answers a {@link Probe} or an {@link IndirectProbe}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param number the number of the probe.
 * @param member the name of the member that was reached.
 */
public record ProbeAnswer(long number, String member) implements ControlMessage {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     */
    public ProbeAnswer {
        Objects.requireNonNull(member, "member");
    }
}
