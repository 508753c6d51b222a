package org.sequoiashunt.dispatch;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.sequoiashunt.call.CallHandler;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.GateCaller;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Passes calls for targets of this node directly to the local gate, and all others to the link.
 *
 * <p>Immutable and thread-safe.
 */
public final class LocalFirstGateCaller implements GateCaller {

    private final NodeAddress localAddress;
    private final CallHandler localGate;
    private final GateCaller link;

    /**
     * Creates a caller.
     *
     * @param localAddress the link address of this node, not null.
     * @param localGate the gate of this node, not null.
     * @param link reaches other nodes, not null.
     */
    public LocalFirstGateCaller(final NodeAddress localAddress, final CallHandler localGate, final GateCaller link) {
        this.localAddress = Objects.requireNonNull(localAddress, "ownAddress");
        this.localGate = Objects.requireNonNull(localGate, "ownGate");
        this.link = Objects.requireNonNull(link, "link");
    }

    @Override
    public CompletableFuture<CallResult> call(final NodeAddress gate, final CallRequest request) {
        return gate.equals(localAddress) ? localGate.handle(request) : link.call(gate, request);
    }

    @Override
    public void withdrawCall(final NodeAddress gate, final String callId) {
        if (gate.equals(localAddress)) {
            localGate.withdrawCall(callId);
        } else {
            link.withdrawCall(gate, callId);
        }
    }
}
