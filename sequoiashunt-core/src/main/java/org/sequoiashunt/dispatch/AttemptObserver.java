package org.sequoiashunt.dispatch;

import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.routing.Candidate;

/**
 * Told by the entry of the end of each attempt. Implementations are thread-safe and do not block.
 */
@FunctionalInterface
public interface AttemptObserver {

    /**
     * Called when an attempt has ended.
     *
     * @param candidate the target to which it was sent, not null.
     * @param request the attempt, not null.
     * @param result how it ended, not null.
     * @param durationMs time from sending to end in milliseconds, zero or more.
     */
    void attemptEnded(Candidate candidate, CallRequest request, CallResult result, long durationMs);
}
