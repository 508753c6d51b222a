package org.sequoiashunt.execution;

/** Tells for how long a guard has been out of reach. Implementations are thread-safe. */
@FunctionalInterface
public interface GuardReachability {

    /**
     * Returns the time since a guard last answered.
     *
     * @param guard the name of the guard, not null.
     * @return milliseconds since its last answer was asked for, or since this node began to ask.
     */
    long unreachableMs(String guard);
}
