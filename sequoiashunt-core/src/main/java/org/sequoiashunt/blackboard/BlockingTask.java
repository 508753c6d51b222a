package org.sequoiashunt.blackboard;

/**
 * Work that may block on the platform's store and therefore has a thread of its own. Call {@link #step()} repeatedly,
 * with the pause that it returns.
 */
@FunctionalInterface
public interface BlockingTask {

    /**
     * Does what is due. May block on the store.
     *
     * @return how long to pause before the next call, in milliseconds, zero or more.
     */
    long step();
}
