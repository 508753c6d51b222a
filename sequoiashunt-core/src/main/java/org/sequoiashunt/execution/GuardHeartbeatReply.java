package org.sequoiashunt.execution;

import java.util.Objects;
import org.sequoiashunt.peer.ControlMessage;

/**
 * Reply of a guard to a {@link GuardHeartbeat}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param group the home group.
 * @param epoch the epoch of the newest roster that the replying guard has adopted.
 * @param sentMs the send time copied from the heartbeat, in milliseconds of the clock of the heartbeat's sender.
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
