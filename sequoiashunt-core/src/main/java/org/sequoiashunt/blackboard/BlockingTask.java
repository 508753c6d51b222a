package org.sequoiashunt.blackboard;

/**
 * Work that may block on the platform's store and therefore has a thread of its own. Call {@link #step()} again and
 * again, with the pause that it asks for.
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
