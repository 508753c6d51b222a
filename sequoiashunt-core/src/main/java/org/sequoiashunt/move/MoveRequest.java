package org.sequoiashunt.move;

import java.util.Objects;

/**
 * An operator's request to move the traffic of a service to another version.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service the service.
 * @param version the version that receives the traffic.
 * @param durationMs the time within which the move has to complete, in milliseconds, positive.
 * @param orderRevision the revision of the request in the platform's store; later requests have greater revisions.
 */
public record MoveRequest(String service, String version, long durationMs, long orderRevision) {

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
