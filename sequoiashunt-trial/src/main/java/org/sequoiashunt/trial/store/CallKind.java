package org.sequoiashunt.trial.store;

/**
 * Kind of a call to the store; selects its counter and its rate limit. Immutable and thread-safe.
 */
enum CallKind {
    /** Read or list. */
    READ(false),
    /** Watch, waiting or not. */
    WATCH(false),
    /** Compare-and-swap. */
    WRITE(true),
    /** Lease acquired, renewed or released. */
    LEASE(true);

    private final boolean countsAsWrite;

    CallKind(final boolean countsAsWrite) {
        this.countsAsWrite = countsAsWrite;
    }

    boolean countsAsWrite() {
        return countsAsWrite;
    }
}
