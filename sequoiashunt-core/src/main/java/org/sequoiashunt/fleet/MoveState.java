package org.sequoiashunt.fleet;

/** State of a move of traffic to another version. The order of the constants is part of the wire protocol. */
public enum MoveState {
    /** Traffic is being moved. */
    RUNNING(false),
    /** All traffic goes to the new version. */
    COMPLETED(true),
    /** The new version is faulty and gets no traffic. */
    ROLLED_BACK(true);

    private final boolean terminal;

    MoveState(final boolean sealed) {
        this.terminal = sealed;
    }

    /**
     * Returns whether the move has ended, so that its state never changes again.
     *
     * @return true for {@link #COMPLETED} and {@link #ROLLED_BACK}.
     */
    public boolean isTerminal() {
        return terminal;
    }
}
