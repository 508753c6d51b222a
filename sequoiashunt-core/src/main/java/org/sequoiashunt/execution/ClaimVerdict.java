package org.sequoiashunt.execution;

/**
 * Decision of a guard on a claim.
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
    /** Another attempt holds the key and its outcome is unknown. */
    HELD_UNKNOWN,
    /** Another attempt holds the key and its answer is recorded. */
    HELD_DONE,
    /** The guard must not grant, since no majority of its roster has answered its heartbeats in time. */
    FENCED,
    /** The epochs of the claim and of the guard differ, or the roster does not list the guard. */
    EPOCH_DIFFERS,
    /** The guard's ledger is full. */
    FULL,
    /** The entry has released the attempt, or the deadline of the attempt has passed. */
    ENDED;

    /**
     * Returns whether another attempt holds the key, which means that its call may have run.
     *
     * @return true if another attempt holds the key.
     */
    public boolean isHeld() {
        return this == HELD_RUNNING || this == HELD_UNKNOWN || this == HELD_DONE;
    }
}
