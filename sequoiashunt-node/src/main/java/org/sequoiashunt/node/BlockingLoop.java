package org.sequoiashunt.node;

import java.util.Objects;
import org.jboss.logging.Logger;
import org.sequoiashunt.blackboard.BlockingTask;

/**
 * Runs a task repeatedly on a dedicated thread, where it may block on the store, with the pauses that it returns.
 *
 * <p>Thread-safe. Invariant: a failure of the task does not end the thread.
 */
public final class BlockingLoop implements AutoCloseable {

    private static final long FAILURE_PAUSE_MS = 1_000;
    private static final long JOIN_TIMEOUT_MS = 500;
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
     * Starts a thread that runs a task until the loop is closed.
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
        boolean previousStepFailed = false;
        while (!closed) {
            long pauseMs = FAILURE_PAUSE_MS;
            try {
                pauseMs = task.step();
                previousStepFailed = false;
            } catch (RuntimeException | Error failure) { // An overflow of the stack is an error, not an exception.
                if (!previousStepFailed) {
                    LOGGER.errorf(failure, "task %s failed", thread.getName());
                }
                previousStepFailed = true;
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

    /** Interrupts the thread, even during a wait for the store, and waits at most half a second for its end. */
    @Override
    public void close() throws InterruptedException {
        closed = true;
        thread.interrupt();
        thread.join(JOIN_TIMEOUT_MS);
    }
}
