package org.sequoiashunt.fleet;

/** How far a move of traffic to another version is. The order of the constants is part of the wire protocol. */
public enum MoveState {
    /** Traffic is being moved. */
    RUNNING(false),
    /** All traffic goes to the new version. */
    COMPLETED(true),
    /** The new version is bad and gets no traffic. */
    ROLLED_BACK(true);

    private final boolean terminal;

    MoveState(final boolean sealed) {
        this.terminal = sealed;
    }

    /**
     * Tells whether the state never changes again.
     *
     * @return true for an outcome.
     */
    public boolean isTerminal() {
        return terminal;
    }
}
