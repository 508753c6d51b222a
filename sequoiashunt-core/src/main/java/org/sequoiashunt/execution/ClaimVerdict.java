package org.sequoiashunt.execution;

/**
 * What a guard says to a claim.
 *
 * <p>Immutable and thread-safe. The order of the constants is part of the wire protocol.
 */
public enum ClaimVerdict {
    /** Recorded by a guard whose history of the key is complete: counts towards the majority. */
    GRANTED,
    /** Recorded by a guard whose history of the key is not complete: does not count. */
    RECORDED,
    /** Another attempt holds the key and may still be running. */
    HELD_RUNNING,
    /** Another attempt holds the key and its outcome is not known. */
    HELD_UNKNOWN,
    /** Another attempt holds the key and its answer is at hand. */
    HELD_DONE,
    /** The guard may not grant: it has not heard from a majority of its roster. */
    FENCED,
    /** The claim and the guard disagree about the epoch of the roster, or the guard is not in it. */
    EPOCH_DIFFERS,
    /** The guard has no room for another claim. */
    FULL,
    /** The attempt was withdrawn by its entry, or its time has passed. */
    ENDED;

    /**
     * Tells whether another attempt holds the key, so that the request may have run.
     *
     * @return true if the key is held.
     */
    public boolean isHeld() {
        return this == HELD_RUNNING || this == HELD_UNKNOWN || this == HELD_DONE;
    }
}
