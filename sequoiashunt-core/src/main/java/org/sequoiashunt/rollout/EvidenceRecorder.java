package org.sequoiashunt.rollout;

import org.sequoiashunt.call.CallResult;

/**
 * Records the result of each call that the gate dispatched to a target. Implementations are thread-safe and do not
 * block.
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
