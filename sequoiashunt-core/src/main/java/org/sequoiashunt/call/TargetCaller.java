package org.sequoiashunt.call;

import java.util.concurrent.CompletableFuture;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Sends a call to a target on the node's own VM.
 *
 * <p>Implementations are thread-safe and never block.
 */
@FunctionalInterface
public interface TargetCaller {

    /**
     * Sends a call.
     *
     * @param target the address of the target, not null.
     * @param request the call, not null.
     * @return completes with how the call ended, never exceptionally, at the call's deadline at the latest:
     *     {@link Outcome#NOT_RUN} only if no byte of the request reached the target. Cancelling it closes the request.
     */
    CompletableFuture<CallResult> call(NodeAddress target, CallRequest request);
}
