package org.sequoiashunt.gate;

import java.util.Objects;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Announcement of a target to the node on its VM.
 *
 * <p>Immutable and thread-safe. Invariants: slots and connections are at least one.
 *
 * @param target the name of the target, unique on its VM.
 * @param service the service that the target runs.
 * @param targetVersion the version of the service that the target runs.
 * @param address the address on which the target accepts requests.
 * @param slots the maximum number of concurrent requests, at least one.
 * @param connections the maximum number of connections that the target accepts, at least one.
 * @param healthPath the path of the health check, may be empty.
 * @param loadPath the path on which the target reports its load, may be empty.
 */
public record AnnouncedTarget(
        String target,
        String service,
        String targetVersion,
        NodeAddress address,
        int slots,
        int connections,
        String healthPath,
        String loadPath) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     * @throws IllegalArgumentException if a name is empty or a number not positive.
     */
    public AnnouncedTarget {
        requireText(target, "target");
        requireText(service, "service");
        requireText(targetVersion, "targetVersion");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(healthPath, "healthPath");
        Objects.requireNonNull(loadPath, "loadPath");
        requirePositive(slots, "slots");
        requirePositive(connections, "connections");
    }

    private static void requireText(final String text, final String name) {
        Objects.requireNonNull(text, name);
        if (text.isBlank()) {
            throw new IllegalArgumentException(name + " must not be empty");
        }
    }

    private static void requirePositive(final int number, final String name) {
        if (number < 1) {
            throw new IllegalArgumentException(name + " must be positive: " + number);
        }
    }
}
