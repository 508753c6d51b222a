package org.sequoiashunt.gate;

/**
 * Decides whether and how a request may run on a target. Immutable and thread-safe.
 */
public enum Admission {
    /** The request may run concurrently with others. */
    NORMAL,
    /** The request may run only while no other request runs on the target. */
    ALONE,
    /** The request must not run. */
    REFUSE
}
