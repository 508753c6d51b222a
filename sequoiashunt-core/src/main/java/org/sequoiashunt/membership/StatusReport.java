package org.sequoiashunt.membership;

import java.util.Objects;
import org.sequoiashunt.peer.ControlMessage;

/**
 * Reports to the lead of the failure domain which configuration a member has in force. Sent to the lead alone: sent to
 * all members, it would cost each of them as many entries per change of configuration as there are members.
 *
 * <p>Immutable and thread-safe.
 *
 * @param configurationVersion the version in force, zero for none.
 * @param refusal why the member refuses a newer version, empty if it refuses none.
 */
public record StatusReport(long configurationVersion, String refusal) implements ControlMessage {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     */
    public StatusReport {
        Objects.requireNonNull(refusal, "refusal");
    }
}
