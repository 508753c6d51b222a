package org.sequoiashunt.execution;

import java.util.Objects;
import org.sequoiashunt.peer.ControlMessage;

/**
 * Answer to a {@link GuardHeartbeat}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param group the home group.
 * @param epoch the epoch of the roster that the answering guard knows.
 * @param sentMs the time copied from the heartbeat.
 */
public record GuardHeartbeatReply(String group, long epoch, long sentMs) implements ControlMessage {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if the group is null.
     */
    public GuardHeartbeatReply {
        Objects.requireNonNull(group, "group");
    }
}
