package org.sequoiashunt.rollout;

/**
 * Stage of a move.
 *
 * <p>Immutable and thread-safe. Ranks order the stages for merging: a higher rank replaces a lower one, so a take-back
 * beats every share and only a seal is final. The order of the constants is part of the wire protocol.
 */
public enum Stage {
    /** The new version gets traffic by share. */
    SHIFTING(0, false),
    /** All traffic goes to the new version and the old one is kept ready. */
    WATCHING(1, false),
    /** The new version gets no traffic; not yet sealed in the store. */
    TAKEN_BACK(2, false),
    /** Finished and sealed: all traffic stays on the new version. */
    SEALED_DONE(3, true),
    /** Finished and sealed: all traffic stays on the old version. */
    SEALED_TAKEN_BACK(4, true);

    private final int rank;
    private final boolean sealed;

    Stage(final int rank, final boolean sealed) {
        this.rank = rank;
        this.sealed = sealed;
    }

    /**
     * Returns the rank for merging.
     *
     * @return the rank, zero or more.
     */
    public int rank() {
        return rank;
    }

    /**
     * Tells whether the outcome stands in the store.
     *
     * @return true if the stage never changes again.
     */
    public boolean isSealed() {
        return sealed;
    }
}
