package org.sequoiashunt.gate;

import java.util.concurrent.CompletableFuture;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResult;

/**
 * Holds a call that waits for a slot. Immutable except for the future, which is thread-safe.
 *
 * @param request the call.
 * @param admission whether it may run concurrently with other calls.
 * @param expiresMs the time by which the call must be dispatched, in milliseconds of the local clock.
 * @param result completes with the result of the call.
 */
record QueuedCall(CallRequest request, Admission admission, long expiresMs, CompletableFuture<CallResult> result) {

    boolean isAlone() {
        return admission == Admission.ALONE;
    }
}
