package org.sequoiashunt.link;

import org.sequoiashunt.call.CallResult;

/**
 * Result together with its receiver. Immutable and thread-safe.
 *
 * @param receiver where to send the result.
 * @param number the number under which the sender knows the call.
 * @param callId the identity of the call.
 * @param result how it ended.
 */
record ResultDelivery(ResultReceiver receiver, long number, String callId, CallResult result) {

    void deliver() {
        receiver.callEnded(number, callId, result);
    }
}
