package org.sequoiashunt.time;

/** Runs short tasks after a delay. Implementations are thread-safe. */
@FunctionalInterface
public interface Delays {

    /**
     * Runs a task after a delay.
     *
     * @param delayMs the delay in milliseconds; zero or less runs the task at once.
     * @param task the task, not null; it must not block.
     * @return an action that cancels the task when run, never null; it has no effect once the task has run.
     */
    Runnable after(long delayMs, Runnable task);
}
