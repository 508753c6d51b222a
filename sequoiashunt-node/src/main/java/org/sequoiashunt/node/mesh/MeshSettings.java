package org.sequoiashunt.node.mesh;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;
import org.sequoiashunt.limit.SlidingWindowRetryBudget;
import org.sequoiashunt.placement.NodeLocation;

/**
 * Settings of a node of a mesh. Immutable and thread-safe.
 *
 * @param place where the node is; its address is that of its links.
 * @param service the service of the VM.
 * @param callers where callers' requests arrive.
 * @param announcements where targets announce themselves.
 * @param readiness where the platform asks whether the node is ready.
 * @param metrics where the node's figures are read, if anywhere.
 * @param announcementPeriodMs the time between two announcements of a target, in milliseconds.
 * @param shutdownMs the time between the signal to end and the forced end, in milliseconds.
 * @param retries the budget of second attempts of all nodes.
 */
public record MeshSettings(
        NodeLocation place,
        String service,
        InetSocketAddress callers,
        InetSocketAddress announcements,
        InetSocketAddress readiness,
        Optional<InetSocketAddress> metrics,
        long announcementPeriodMs,
        long shutdownMs,
        SlidingWindowRetryBudget.Bounds retries) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     * @throws IllegalArgumentException if a time is not positive.
     */
    public MeshSettings {
        Objects.requireNonNull(place, "place");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(callers, "callers");
        Objects.requireNonNull(announcements, "announcements");
        Objects.requireNonNull(readiness, "readiness");
        Objects.requireNonNull(metrics, "metrics");
        Objects.requireNonNull(retries, "retries");
        if (announcementPeriodMs < 1 || shutdownMs < 1) {
            throw new IllegalArgumentException("times must be positive");
        }
    }
}
