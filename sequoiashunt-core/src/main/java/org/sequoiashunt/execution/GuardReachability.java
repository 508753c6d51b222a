package org.sequoiashunt.execution;

/** Measures for how long a guard has been unreachable. Implementations are thread-safe. */
@FunctionalInterface
public interface GuardReachability {

    /**
     * Returns how long a guard has been unreachable.
     *
     * @param guard the name of the guard, not null.
     * @return milliseconds since the last heartbeat that the guard answered was sent, or since this node began to send
     *     heartbeats to the guard.
     */
    long unreachableMs(String guard);
}
