package org.sequoiashunt.link;

/** Decision of the {@link CallLedger} on a received call. Immutable and thread-safe. */
enum CallAdmission {
    /** The call is new and is to be run. */
    RUN,
    /** The call was received before and is running or has ended. */
    DUPLICATE,
    /** The call was revoked by an earlier query or cancellation and is not run. */
    REVOKED,
    /** The ledger holds the maximum number of calls. */
    FULL
}
