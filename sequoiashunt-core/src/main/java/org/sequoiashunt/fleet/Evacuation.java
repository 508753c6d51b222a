package org.sequoiashunt.fleet;

import java.util.Objects;

/**
 * Order of the operator to send nothing to the targets of a failure domain, or its revocation.
 *
 * <p>Immutable and thread-safe. Of two for one failure domain, the one with the higher revision holds.
 *
 * @param failureDomain the failure domain.
 * @param revision the revision of the operator's document.
 * @param active true for an order, false for its revocation.
 */
public record Evacuation(String failureDomain, long revision, boolean active) {

    /**
     * Checks the components.
     *
     * @throws NullPointerException if the failure domain is null.
     */
    public Evacuation {
        Objects.requireNonNull(failureDomain, "failureDomain");
    }
}
