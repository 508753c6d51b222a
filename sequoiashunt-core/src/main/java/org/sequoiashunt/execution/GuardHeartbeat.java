package org.sequoiashunt.execution;

import java.util.Objects;
import org.sequoiashunt.peer.ControlMessage;

/**
 * Heartbeat from one guard of a home group to another, answered by {@link GuardHeartbeatReply}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param group the home group.
 * @param epoch the epoch of the newest roster that the sender has adopted.
 * @param sentMs when the heartbeat was sent, in milliseconds of the sender's clock; only the sender interprets the
 *     value.
 */
public record GuardHeartbeat(String group, long epoch, long sentMs) implements ControlMessage {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if the group is null.
     */
    public GuardHeartbeat {
        Objects.requireNonNull(group, "group");
    }
}
