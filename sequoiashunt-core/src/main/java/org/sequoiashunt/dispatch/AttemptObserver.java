package org.sequoiashunt.dispatch;

import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.routing.Candidate;

/**
 * Receives the result of each attempt that a dispatcher makes. Implementations are thread-safe and do not block.
 */
@FunctionalInterface
public interface AttemptObserver {

    /**
     * Called when an attempt has ended.
     *
     * @param candidate the target to which it was sent, not null.
     * @param request the attempt, not null.
     * @param result the result of the attempt, not null.
     * @param durationMs time from sending to end in milliseconds, zero or more.
     */
    void attemptEnded(Candidate candidate, CallRequest request, CallResult result, long durationMs);
}
