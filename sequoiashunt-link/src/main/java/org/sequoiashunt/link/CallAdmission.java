package org.sequoiashunt.link;

/** Whether a call that arrived is run. Immutable and thread-safe. */
enum CallAdmission {
    /** The call is new and is to be run. */
    RUN,
    /** The call is running or has ended. */
    DUPLICATE,
    /** The sender was told that the call is not run. */
    REVOKED,
    /** Too many calls are remembered. */
    FULL
}
