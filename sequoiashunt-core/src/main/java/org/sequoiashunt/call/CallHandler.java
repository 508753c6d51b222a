package org.sequoiashunt.call;

import java.util.concurrent.CompletableFuture;

/**
 * Runs calls that arrive at this node for one of its targets. Implementations are thread-safe and never block.
 */
@FunctionalInterface
public interface CallHandler {

    /**
     * Runs a call.
     *
     * @param request the call, not null.
     * @return a future that completes with the result of the call, never exceptionally. Cancelling it cancels the call.
     */
    CompletableFuture<CallResult> handle(CallRequest request);

    /**
     * Withdraws a call: if it has not been sent to its target, it ends as {@link Outcome#NOT_RUN} and is never sent.
     * Otherwise, or if the handler cannot tell, nothing changes.
     *
     * @param callId the identity of the call, not null.
     */
    default void withdrawCall(final String callId) {}
}
