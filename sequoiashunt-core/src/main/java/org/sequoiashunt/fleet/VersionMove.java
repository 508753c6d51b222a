package org.sequoiashunt.fleet;

import java.util.Objects;

/**
 * Where a move of a service's traffic to another version stands.
 *
 * <p>Immutable and thread-safe. Invariant: the share is from 0 to 1,000.
 *
 * @param service the service.
 * @param version the version that traffic moves to.
 * @param order the revision of the operator's order; a later order replaces an earlier one.
 * @param state how far the move is.
 * @param sharePermille the share of the traffic for the new version while the move runs, in thousandths.
 */
public record VersionMove(String service, String version, long order, MoveState state, int sharePermille) {

    private static final int WHOLE = 1_000;

    /**
     * Checks the components.
     *
     * @throws NullPointerException if a component is null.
     * @throws IllegalArgumentException if the share is out of range.
     */
    public VersionMove {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(version, "version");
        Objects.requireNonNull(state, "state");
        if (sharePermille < 0 || sharePermille > WHOLE) {
            throw new IllegalArgumentException("share out of range: " + sharePermille);
        }
    }

    /**
     * Tells whether this standing goes before another one of the same service: the later order, then the outcome, a
     * roll-back before a completion, then the greater share.
     *
     * @param other the other standing, not null.
     * @return true if this one replaces it.
     */
    public boolean supersedes(final VersionMove other) {
        if (order != other.order) {
            return order > other.order;
        }
        if (state != other.state) {
            return state.compareTo(other.state) > 0;
        }
        return sharePermille > other.sharePermille;
    }
}
