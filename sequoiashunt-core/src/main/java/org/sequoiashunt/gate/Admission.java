package org.sequoiashunt.gate;

/**
 * How a request may run on a target. Immutable and thread-safe.
 */
public enum Admission {
    /** Beside others. */
    NORMAL,
    /** Only while nothing else runs on the target. */
    ALONE,
    /** Not at all. */
    REFUSE
}
