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
}
