package org.sequoiashunt.call;

import java.util.concurrent.CompletableFuture;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Sends a call to the gate on a target's node.
 *
 * <p>Implementations are thread-safe and never block.
 */
@FunctionalInterface
public interface GateCaller {

    /**
     * Sends a call.
     *
     * @param gateAddress the link address of the target's node, not null.
     * @param request the call, not null.
     * @return a future that completes with the result of the call, never exceptionally, at the call's deadline at the
     *     latest. Cancelling it cancels the call at the gate.
     */
    CompletableFuture<CallResult> call(NodeAddress gateAddress, CallRequest request);

    /**
     * Withdraws a call: if the gate has not sent it to its target, it ends as {@link Outcome#NOT_RUN} and is never
     * sent. Otherwise nothing changes. Does nothing if the call has ended.
     *
     * @param gateAddress the link address of the target's node, not null.
     * @param callId the identity of the call, not null.
     */
    default void withdrawCall(final NodeAddress gateAddress, final String callId) {}
}
