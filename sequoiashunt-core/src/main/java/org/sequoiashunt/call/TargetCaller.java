package org.sequoiashunt.call;

import java.util.concurrent.CompletableFuture;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Sends a call to a target on the same VM as the node.
 *
 * <p>Implementations are thread-safe and never block.
 */
@FunctionalInterface
public interface TargetCaller {

    /** Value of a silence limit that never ends a call. */
    long NO_SILENCE_LIMIT = Long.MAX_VALUE;

    /**
     * Sends a call.
     *
     * @param targetAddress the address of the target, not null.
     * @param request the call, not null.
     * @return a future that completes with the result of the call, never exceptionally, at the call's deadline at the
     *     latest. The outcome is {@link Outcome#NOT_RUN} only if no byte of the request reached the target. Cancelling
     *     the future closes the request.
     */
    CompletableFuture<CallResult> call(NodeAddress targetAddress, CallRequest request);

    /**
     * Sends a call and gives it up if the target stays silent. Callers that cannot observe the first byte of an answer
     * ignore the limit.
     *
     * @param targetAddress the address of the target, not null.
     * @param request the call, not null.
     * @param silenceLimitMs the time after sending until which the answer must have begun, in milliseconds, positive;
     *     {@link #NO_SILENCE_LIMIT} for none.
     * @return as {@link #call(NodeAddress, CallRequest)}; after the limit, an unknown outcome with the reason
     *     {@link Reason#UNRESPONSIVE}.
     */
    default CompletableFuture<CallResult> call(
            final NodeAddress targetAddress, final CallRequest request, final long silenceLimitMs) {
        return call(targetAddress, request);
    }
}
