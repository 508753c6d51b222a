package org.sequoiashunt.fleet;

import java.util.Objects;

/**
 * State and share of a move of a service's traffic to another version.
 *
 * <p>Immutable and thread-safe. Invariant: the share is from 0 to 1,000.
 *
 * @param service the service.
 * @param version the version that receives the traffic.
 * @param order the store revision of the operator's request; a later request replaces an earlier one.
 * @param state the state of the move.
 * @param sharePermille the share of the traffic for the new version while the move runs, in thousandths.
 */
public record VersionMove(String service, String version, long order, MoveState state, int sharePermille) {

    private static final int MAXIMUM_SHARE_PERMILLE = 1_000;

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
        if (sharePermille < 0 || sharePermille > MAXIMUM_SHARE_PERMILLE) {
            throw new IllegalArgumentException("sharePermille out of range: " + sharePermille);
        }
    }

    /**
     * Returns whether this value replaces another one of the same service. The later request takes precedence, then a
     * terminal state, with a roll-back before a completion, then the greater share.
     *
     * @param other the other value, not null.
     * @return true if this value replaces the other.
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
