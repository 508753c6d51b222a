package org.sequoiashunt.link;

import org.sequoiashunt.call.CallResult;

/**
 * Result of a call with the receiver to which it is to be delivered. Immutable and thread-safe.
 *
 * @param receiver where to send the result.
 * @param number the number that the sender assigned to the call.
 * @param callId the identity of the call.
 * @param result the result.
 */
record ResultDelivery(ResultReceiver receiver, long number, String callId, CallResult result) {

    void deliver() {
        receiver.callEnded(number, callId, result);
    }
}
