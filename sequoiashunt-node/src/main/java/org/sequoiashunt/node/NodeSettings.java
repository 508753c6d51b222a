package org.sequoiashunt.node;

import java.util.List;
import java.util.Objects;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Settings of one node.
 *
 * <p>Immutable and thread-safe.
 *
 * @param node the name of the node, unique in the deployment.
 * @param failureDomain the failure domain of the VM.
 * @param region the region of the failure domain.
 * @param callers the address on which callers' requests arrive.
 * @param link the address to which other nodes connect.
 * @param admin the address on which targets announce themselves and on which status and metrics are served.
 * @param store the address of the platform's store.
 * @param contacts link addresses of other nodes, for a start while the store is unavailable; may be empty.
 * @param maximumBodyBytes the largest body of a request or a response, in bytes.
 * @param drainMs the longest time for calls in flight to end at a shutdown, in milliseconds.
 */
public record NodeSettings(
        String node,
        String failureDomain,
        String region,
        NodeAddress callers,
        NodeAddress link,
        NodeAddress admin,
        NodeAddress store,
        List<NodeAddress> contacts,
        int maximumBodyBytes,
        long drainMs) {

    /** Default of the largest body, in bytes. */
    public static final int DEFAULT_MAXIMUM_BODY_BYTES = 1_048_576;

    /** Default of the longest drain, in milliseconds; longer than the longest timeout of a route. */
    public static final long DEFAULT_DRAIN_MS = 65_000;

    /**
     * Checks the components and copies the list.
     *
     * @throws NullPointerException if a component is null.
     */
    public NodeSettings {
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(callers, "callers");
        Objects.requireNonNull(link, "link");
        Objects.requireNonNull(admin, "admin");
        Objects.requireNonNull(store, "store");
        contacts = List.copyOf(contacts);
    }
}
