package org.sequoiashunt.membership;

/**
 * State of a node or target, as its node publishes it.
 *
 * <p>Immutable and thread-safe. The order of the constants is part of the wire protocol.
 */
public enum MemberState {
    /** Started; catches up with the configuration and serves nothing yet. */
    JOINING(false),
    /** Takes new work. */
    SERVING(true),
    /** Takes no new work and finishes what it runs. */
    DRAINING(false),
    /** Left the deployment. */
    LEFT(false);

    private final boolean acceptsWork;

    MemberState(final boolean acceptsWork) {
        this.acceptsWork = acceptsWork;
    }

    /**
     * Tells whether new work may be sent to a node in this state.
     *
     * @return true if the node takes new work.
     */
    public boolean acceptsWork() {
        return acceptsWork;
    }
}
