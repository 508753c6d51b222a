package org.sequoiashunt.slot;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResult;

/**
 * Call that waits for a slot. Immutable; thread-safe as its parts are.
 *
 * @param request the call.
 * @param latestStartMs the latest useful start while others wait too, in milliseconds of the local clock.
 * @param result how the call ends.
 */
public record WaitingCall(CallRequest request, long latestStartMs, CompletableFuture<CallResult> result) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     */
    public WaitingCall {
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(result, "result");
    }
}
