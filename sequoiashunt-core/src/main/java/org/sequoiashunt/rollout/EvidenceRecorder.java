package org.sequoiashunt.rollout;

import org.sequoiashunt.call.CallResult;

/**
 * Told by the gate of each call that its target ran or failed to run. Implementations are thread-safe and do not block.
 */
@FunctionalInterface
public interface EvidenceRecorder {

    /**
     * Records the end of a call.
     *
     * @param service the service, not null.
     * @param targetVersion the target version, not null.
     * @param route the route, not null.
     * @param result how the call ended, not null.
     * @param latencyMs time from dispatch to end in milliseconds, zero or more.
     */
    void record(String service, String targetVersion, String route, CallResult result, long latencyMs);
}
