package org.sequoiashunt.dispatch;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.sequoiashunt.call.CallHandler;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.GateCaller;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Hands calls for this node's own targets to its gate directly, and all others to the link.
 *
 * <p>Immutable and thread-safe.
 */
public final class LocalFirstGateCaller implements GateCaller {

    private final NodeAddress ownAddress;
    private final CallHandler ownGate;
    private final GateCaller link;

    /**
     * Creates a caller.
     *
     * @param ownAddress the link address of this node, not null.
     * @param ownGate the gate of this node, not null.
     * @param link reaches other nodes, not null.
     */
    public LocalFirstGateCaller(final NodeAddress ownAddress, final CallHandler ownGate, final GateCaller link) {
        this.ownAddress = Objects.requireNonNull(ownAddress, "ownAddress");
        this.ownGate = Objects.requireNonNull(ownGate, "ownGate");
        this.link = Objects.requireNonNull(link, "link");
    }

    @Override
    public CompletableFuture<CallResult> call(final NodeAddress gate, final CallRequest request) {
        return gate.equals(ownAddress) ? ownGate.handle(request) : link.call(gate, request);
    }
}
