package org.sequoiashunt.target;

import java.util.Objects;
import org.sequoiashunt.peer.NodeAddress;

/**
 * What a target says of itself.
 *
 * <p>Immutable and thread-safe. Invariant: the slots are positive.
 *
 * @param target the identity of the target; it may outlive a restart.
 * @param address where it serves.
 * @param service the service that it runs.
 * @param version the version of its software.
 * @param slots how many requests it runs at a time.
 * @param leaving whether it asks for no new work.
 * @param bornMs the time of its start, in its own milliseconds; orders its incarnations.
 * @param sequence orders the announcements of one incarnation.
 * @param warmupLeftMs for how much longer it stays slow after its start, in milliseconds.
 */
public record TargetAnnouncement(
        String target,
        NodeAddress address,
        String service,
        String version,
        int slots,
        boolean leaving,
        long bornMs,
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
            throw new IllegalArgumentException("a target needs an identity and a slot");
        }
    }
}
