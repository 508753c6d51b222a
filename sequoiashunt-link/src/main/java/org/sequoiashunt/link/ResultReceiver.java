package org.sequoiashunt.link;

import org.sequoiashunt.call.CallResult;

/** Receives the result of a call. Implementations are thread-safe and never block. */
@FunctionalInterface
interface ResultReceiver {

    /**
     * Receives the result when the call has ended.
     *
     * @param number the number that the sender assigned to the call.
     * @param callId the identity of the call.
     * @param result the result.
     */
    void callEnded(long number, String callId, CallResult result);
}
