package org.sequoiashunt.rollout;

/**
 * Stage of a move, from the first requests of the new version to the final outcome.
 *
 * <p>Immutable and thread-safe. Ranks order the stages for merging: a higher rank replaces a lower one, so a rollback
 * overrides every share. An outcome is final only when it is sealed, which means that the store holds it. The order
 * of the constants is part of the wire protocol.
 */
public enum Stage {
    /** The new version gets its share of the requests. */
    SHIFTING(0, false),
    /** The new version gets all or nearly all requests, and the old version is kept ready for a rollback. */
    WATCHING(1, false),
    /** The move is rolled back, so the new version gets no requests; the outcome is not yet sealed in the store. */
    TAKEN_BACK(2, false),
    /** The move is completed and its outcome sealed: all requests go to the new version. */
    SEALED_DONE(3, true),
    /** The move is rolled back and its outcome sealed: all requests go to the old version. */
    SEALED_TAKEN_BACK(4, true);

    private final int rank;
    private final boolean sealed;

    Stage(final int rank, final boolean sealed) {
        this.rank = rank;
        this.sealed = sealed;
    }

    /**
     * Returns the rank of this stage for merging.
     *
     * @return the rank, zero or more.
     */
    public int rank() {
        return rank;
    }

    /**
     * Tells whether the store holds the final outcome.
     *
     * @return true if the stage never changes again.
     */
    public boolean isSealed() {
        return sealed;
    }
}
