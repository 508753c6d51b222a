package org.sequoiashunt.node;

import java.util.Objects;
import org.jboss.logging.Logger;
import org.sequoiashunt.blackboard.BlockingTask;

/**
 * Thread that runs one task that may block on the store, again and again.
 *
 * <p>Thread-safe. Invariant: a failure of the task does not end the thread.
 */
public final class BlockingLoop implements AutoCloseable {

    private static final long FAILURE_PAUSE_MS = 1_000;
    private static final long END_MS = 500;
    private static final Logger LOGGER = Logger.getLogger(BlockingLoop.class);

    private final BlockingTask task;
    private final Thread thread;
    private volatile boolean closed;

    private BlockingLoop(final String name, final BlockingTask task) {
        this.task = task;
        this.thread = new Thread(this::run, name);
        thread.setDaemon(true);
    }

    /**
     * Starts a thread.
     *
     * @param name the name of the thread, not null.
     * @param task the task, not null.
     * @return the running loop, never null.
     */
    public static BlockingLoop start(final String name, final BlockingTask task) {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(task, "task");
        BlockingLoop loop = new BlockingLoop(name, task);
        loop.thread.start();
        return loop;
    }

    private void run() {
        boolean failedBefore = false;
        while (!closed) {
            long pauseMs = FAILURE_PAUSE_MS;
            try {
                pauseMs = task.step();
                failedBefore = false;
            } catch (RuntimeException exception) {
                if (!failedBefore) {
                    LOGGER.errorf(exception, "task %s failed", thread.getName());
                }
                failedBefore = true;
            }
            pause(pauseMs);
        }
    }

    private void pause(final long pauseMs) {
        try {
            Thread.sleep(pauseMs);
        } catch (InterruptedException exception) {
            closed = true;
        }
    }

    /** Ends the thread. A step that waits for the store is interrupted, and waited for no longer than half a second. */
    @Override
    public void close() throws InterruptedException {
        closed = true;
        thread.interrupt();
        thread.join(END_MS);
    }
}
