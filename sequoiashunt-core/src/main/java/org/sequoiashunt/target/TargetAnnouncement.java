package org.sequoiashunt.target;

import java.util.Objects;
import org.sequoiashunt.peer.NodeAddress;

/**
 * A target's announcement of its identity, address, service and state.
 *
 * <p>Immutable and thread-safe. Invariants: the identity is not empty; the slots are positive.
 *
 * @param target the identity of the target, not empty; it may stay the same after a restart.
 * @param address the address at which the target receives requests.
 * @param service the service that the target runs.
 * @param version the version of the target's software.
 * @param slots the number of requests that the target runs at a time, positive.
 * @param leaving whether the target asks for no new requests.
 * @param startedAtMs the start time in milliseconds of the target's clock; orders the incarnations of the target.
 * @param sequence orders the announcements of one incarnation.
 * @param warmupLeftMs the remaining warm-up time in which the target is slow, in milliseconds.
 */
public record TargetAnnouncement(
        String target,
        NodeAddress address,
        String service,
        String version,
        int slots,
        boolean leaving,
        long startedAtMs,
        long sequence,
        long warmupLeftMs) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     * @throws IllegalArgumentException if the identity is empty or the slots are not positive.
     */
    public TargetAnnouncement {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(version, "version");
        if (target.isEmpty() || slots < 1) {
            throw new IllegalArgumentException("target identity must not be empty and slots must be positive");
        }
    }
}
