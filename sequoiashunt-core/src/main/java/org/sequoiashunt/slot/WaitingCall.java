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
 * @param expectedServiceMs how long the call is expected to hold a slot, in milliseconds, not negative.
 * @param result completed with the result of the call, not null.
 */
public record WaitingCall(
        CallRequest request, long latestStartMs, long expectedServiceMs, CompletableFuture<CallResult> result) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     */
    public WaitingCall {
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(result, "result");
    }

    /**
     * Creates a call that is expected to hold a slot as long as a typical short request.
     *
     * @param request the call, not null.
     * @param latestStartMs the latest useful start, in milliseconds of the local clock.
     * @param result completed with the result of the call, not null.
     */
    public WaitingCall(
            final CallRequest request, final long latestStartMs, final CompletableFuture<CallResult> result) {
        this(request, latestStartMs, SlotQueue.INITIAL_MEAN_MS, result);
    }
}
