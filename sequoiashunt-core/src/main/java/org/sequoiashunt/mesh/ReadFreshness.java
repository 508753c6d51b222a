package org.sequoiashunt.mesh;

/** How recent the result of a read of the platform's store must be. Immutable and thread-safe. */
public enum ReadFreshness {
    /** Includes every change that was acknowledged before the read. */
    LATEST,
    /** May be seconds old; costs the store a fraction of the other and does not count for its rate limit. */
    SECONDS_OLD
}
