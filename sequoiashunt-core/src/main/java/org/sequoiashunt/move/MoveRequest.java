package org.sequoiashunt.move;

import java.util.Objects;

/**
 * Operator's request to move the traffic of a service to another version.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service the service.
 * @param version the version that traffic is to move to.
 * @param durationMs the time within which the move is to be done, in milliseconds.
 * @param revision the revision of the order in the platform's store; later orders have greater ones.
 */
public record MoveRequest(String service, String version, long durationMs, long revision) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a name is null.
     * @throws IllegalArgumentException if the duration is not positive.
     */
    public MoveRequest {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(version, "version");
        if (durationMs < 1) {
            throw new IllegalArgumentException("durationMs must be positive: " + durationMs);
        }
    }
}
