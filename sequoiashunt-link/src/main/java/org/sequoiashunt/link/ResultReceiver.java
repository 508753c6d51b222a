package org.sequoiashunt.link;

import org.sequoiashunt.call.CallResult;

/** Receives the result of a call. Implementations are thread-safe and never block. */
@FunctionalInterface
interface ResultReceiver {

    /**
     * Called once when the call has ended.
     *
     * @param number the number under which the sender knows the call.
     * @param callId the identity of the call.
     * @param result how it ended.
     */
    void callEnded(long number, String callId, CallResult result);
}
