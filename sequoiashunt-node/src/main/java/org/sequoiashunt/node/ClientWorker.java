package org.sequoiashunt.node;

import java.io.IOException;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Holds the I/O threads for connections to targets and to the store. Thread-safe.
 */
public final class ClientWorker implements AutoCloseable {

    private static final int IO_THREADS = 2;
    private static final int TASK_THREADS = 1;

    private final XnioWorker worker;

    /**
     * Starts the threads.
     *
     * @throws IOException if they cannot be started.
     */
    public ClientWorker() throws IOException {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_NAME, "outgoing")
                        .set(Options.WORKER_IO_THREADS, IO_THREADS)
                        .set(Options.WORKER_TASK_CORE_THREADS, TASK_THREADS)
                        .set(Options.WORKER_TASK_MAX_THREADS, TASK_THREADS)
                        .set(Options.TCP_NODELAY, true)
                        .set(Options.THREAD_DAEMON, true)
                        .getMap());
    }

    /**
     * Returns the worker.
     *
     * @return the worker, never null; {@link #close()} shuts it down.
     */
    public XnioWorker worker() {
        return worker;
    }

    @Override
    public void close() {
        worker.shutdownNow();
    }
}
