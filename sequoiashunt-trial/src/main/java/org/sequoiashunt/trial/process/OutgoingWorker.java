package org.sequoiashunt.trial.process;

import java.io.IOException;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * I/O threads for the outgoing HTTP connections of a trial. Thread-safe.
 */
public final class OutgoingWorker implements AutoCloseable {

    private static final int IO_THREADS = 2;

    private final XnioWorker worker;

    /**
     * Starts the threads.
     *
     * @throws IOException if they cannot be started.
     */
    public OutgoingWorker() throws IOException {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_NAME, "trial")
                        .set(Options.WORKER_IO_THREADS, IO_THREADS)
                        .set(Options.TCP_NODELAY, true)
                        .set(Options.THREAD_DAEMON, true)
                        .getMap());
    }

    /**
     * Returns the threads.
     *
     * @return the worker, never null.
     */
    public XnioWorker worker() {
        return worker;
    }

    @Override
    public void close() {
        worker.shutdownNow();
    }
}
