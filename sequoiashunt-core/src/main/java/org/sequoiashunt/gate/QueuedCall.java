package org.sequoiashunt.gate;

import java.util.concurrent.CompletableFuture;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResult;

/**
 * Call that waits at a gate. Immutable but for the future, which is thread-safe.
 *
 * @param request the call.
 * @param admission how it may run.
 * @param expiresMs when it must have been dispatched, in milliseconds of the local clock.
 * @param result completes with how the call ended.
 */
record QueuedCall(CallRequest request, Admission admission, long expiresMs, CompletableFuture<CallResult> result) {

    boolean isAlone() {
        return admission == Admission.ALONE;
    }
}
