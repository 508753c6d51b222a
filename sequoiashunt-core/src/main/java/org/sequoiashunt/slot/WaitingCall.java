package org.sequoiashunt.slot;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResult;

/**
 * Call that waits for a slot of a target. Immutable; thread-safe if its components are.
 *
 * @param request the call, not null.
 * @param latestStartMs the latest useful start, after which other calls go first, in milliseconds of the local clock.
 * @param result completed with the result of the call, not null.
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
