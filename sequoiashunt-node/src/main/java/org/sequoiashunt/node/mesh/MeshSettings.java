package org.sequoiashunt.node.mesh;

import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;
import org.sequoiashunt.limit.SlidingWindowRetryBudget;
import org.sequoiashunt.placement.NodeLocation;
import org.sequoiashunt.placement.PlacementPolicy;
import org.sequoiashunt.quota.QuotaBounds;

/**
 * Settings of a node of a mesh. Immutable and thread-safe.
 *
 * @param location the node's name, failure domain, region and the address on which it accepts links.
 * @param capacity the processor capacity of the VM, in thousandths of a core, at least 1; nodes with more relay for
 *     others.
 * @param service the name of the VM's service.
 * @param callerAddress the address on which callers' requests arrive.
 * @param announcementAddress the address on which the VM's targets announce themselves.
 * @param readinessAddress the address of the readiness check.
 * @param metricsAddress the address on which metrics are exported; empty if they are not.
 * @param announcementPeriodMs the time between two announcements of a target, in milliseconds, at least 1.
 * @param shutdownMs the time between the shutdown signal and the forced stop, in milliseconds, at least 1.
 * @param retryBudget the limits of the retry budget that all nodes share.
 * @param quotaBounds the bounds on the requests of organisations with limits; empty if no limit is in force.
 * @param placement the policy by which this node chooses targets, the same at all nodes; empty if the configuration
 *     decides.
 * @param linkMbps the rate of the VM's network link, in Mbit/s, not negative; 0 if it is unknown.
 */
public record MeshSettings(
        NodeLocation location,
        int capacity,
        String service,
        InetSocketAddress callerAddress,
        InetSocketAddress announcementAddress,
        InetSocketAddress readinessAddress,
        Optional<InetSocketAddress> metricsAddress,
        long announcementPeriodMs,
        long shutdownMs,
        SlidingWindowRetryBudget.Bounds retryBudget,
        Optional<QuotaBounds> quotaBounds,
        Optional<PlacementPolicy> placement,
        double linkMbps) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     * @throws IllegalArgumentException if a time or the capacity is not positive, or the rate is negative.
     */
    public MeshSettings {
        Objects.requireNonNull(location, "location");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(callerAddress, "callerAddress");
        Objects.requireNonNull(announcementAddress, "announcementAddress");
        Objects.requireNonNull(readinessAddress, "readinessAddress");
        Objects.requireNonNull(metricsAddress, "metricsAddress");
        Objects.requireNonNull(retryBudget, "retryBudget");
        Objects.requireNonNull(quotaBounds, "quotaBounds");
        Objects.requireNonNull(placement, "placement");
        if (announcementPeriodMs < 1 || shutdownMs < 1) {
            throw new IllegalArgumentException("announcementPeriodMs and shutdownMs must be positive");
        }
        if (!(linkMbps >= 0)) {
            throw new IllegalArgumentException("linkMbps must not be negative: " + linkMbps);
        }
        if (capacity < 1) {
            throw new IllegalArgumentException("capacity must be positive: " + capacity);
        }
    }
}
