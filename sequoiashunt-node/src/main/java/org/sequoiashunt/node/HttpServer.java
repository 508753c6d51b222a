package org.sequoiashunt.node;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.jboss.logging.Logger;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * HTTP server for one or more addresses that can stop accepting connections before it ends those it has accepted.
 *
 * <p>To stop without resetting requests, call {@link #stopAccepting()}, then {@link #awaitConnectionsClosed}, then
 * {@link #close()}. The handlers answer requests until the server is closed, so they must refuse those that the process
 * will not serve.
 *
 * <p>Thread-safe: the channels and connections are guarded by this object's monitor, which is not held while a channel
 * is closed. Invariant: after {@link #stopAccepting()}, an accepted connection is closed by the server only if its
 * exchange or a limit requires it, until {@link #close()}.
 */
public final class HttpServer implements AutoCloseable {

    private static final int WORKER_THREADS = 1;
    private static final int BUFFERS_PER_THREAD = 4;
    private static final int BACKLOG_CONNECTIONS = 1_024;

    /** Room for threads that start while the threads are listed. */
    private static final int SPARE_THREADS = 16;

    /** Longest wait for the accepting thread to close the sockets. */
    private static final long STOP_TIMEOUT_MS = 500;

    private static final Logger LOGGER = Logger.getLogger(HttpServer.class);

    private static final OptionMap SOCKET_OPTIONS = OptionMap.builder()
            .set(Options.TCP_NODELAY, true)
            .set(Options.REUSE_ADDRESSES, true)
            .set(Options.BACKLOG, BACKLOG_CONNECTIONS)
            .getMap();

    private final XnioWorker worker;
    private final Executor acceptingThread;
    private final ByteBufferPool buffers;
    private final List<AcceptingChannel<StreamConnection>> channels = new ArrayList<>();
    private final Set<StreamConnection> connections = new HashSet<>();

    private HttpServer(final XnioWorker worker, final int bufferBytes) {
        this.worker = worker;
        this.acceptingThread = findAcceptingThread(worker);
        this.buffers = new DefaultByteBufferPool(true, bufferBytes, -1, BUFFERS_PER_THREAD);
    }

    /**
     * Starts the threads of a server that does not listen yet.
     *
     * @param name the name of the threads, not null.
     * @param ioThreads the number of I/O threads, positive.
     * @param bufferBytes the size of each buffer for reading and writing, in bytes, positive.
     * @return the server, never null.
     * @throws IOException if the threads cannot be started.
     */
    public static HttpServer start(final String name, final int ioThreads, final int bufferBytes) throws IOException {
        OptionMap options = OptionMap.builder()
                .set(Options.WORKER_NAME, Objects.requireNonNull(name, "name"))
                .set(Options.WORKER_IO_THREADS, ioThreads)
                .set(Options.WORKER_TASK_CORE_THREADS, WORKER_THREADS)
                .set(Options.WORKER_TASK_MAX_THREADS, WORKER_THREADS)
                .set(Options.TCP_NODELAY, true)
                .getMap();
        return new HttpServer(Xnio.getInstance().createWorker(options), bufferBytes);
    }

    /**
     * Finds the thread that accepts connections. The library does not tell it, but it has just started it in the thread
     * group of this thread.
     */
    private static Executor findAcceptingThread(final XnioWorker worker) {
        Set<Thread> otherThreads = new HashSet<>();
        for (int index = 0; index < worker.getIoThreadCount(); index++) {
            otherThreads.add(worker.getIoThread(index));
        }
        Thread[] threads = new Thread[2 * Thread.activeCount() + SPARE_THREADS];
        int count = Thread.enumerate(threads);
        for (Thread thread : Arrays.copyOf(threads, count)) {
            if (thread instanceof XnioIoThread candidate
                    && candidate.getWorker() == worker
                    && !otherThreads.contains(candidate)) {
                return candidate;
            }
        }
        LOGGER.warn("the accepting thread was not found; a stop may reset more connections");
        return Runnable::run;
    }

    /**
     * Listens on an address.
     *
     * @param address the address, not null.
     * @param options the limits and times of the protocol, not null.
     * @param handler handles the requests, not null.
     * @param receiver returns the listener that gets each accepted connection, given the one that reads requests from
     *     it, not null.
     * @throws IOException if the address cannot be bound.
     */
    public void listen(
            final InetSocketAddress address,
            final OptionMap options,
            final HttpHandler handler,
            final UnaryOperator<ChannelListener<StreamConnection>> receiver)
            throws IOException {
        Objects.requireNonNull(address, "address");
        HttpOpenListener openListener = new HttpOpenListener(buffers, options);
        openListener.setRootHandler(handler);
        ChannelListener<StreamConnection> next = receiver.apply(openListener::handleEvent);
        AcceptingChannel<StreamConnection> channel =
                worker.createStreamConnectionServer(address, accepting -> accept(accepting, next), SOCKET_OPTIONS);
        synchronized (this) {
            channels.add(channel);
        }
        channel.resumeAccepts();
    }

    private void accept(
            final AcceptingChannel<StreamConnection> channel, final ChannelListener<StreamConnection> next) {
        try {
            StreamConnection connection = channel.accept();
            if (connection != null) {
                begin(connection, next);
            }
        } catch (ClosedChannelException exception) {
            // The server has stopped, and this thread has begun all connections that were accepted.
            return;
        } catch (IOException exception) {
            LOGGER.warn("a connection could not be accepted", exception);
        }
    }

    private void begin(final StreamConnection connection, final ChannelListener<StreamConnection> next) {
        synchronized (this) {
            connections.add(connection);
        }
        next.handleEvent(connection);
        ChannelListener<? super StreamConnection> closeListener = connection.getCloseListener();
        connection.setCloseListener(closed -> {
            remove(closed);
            if (closeListener != null) {
                closeListener.handleEvent(closed);
            }
        });
        if (!connection.isOpen()) {
            remove(connection);
        }
    }

    private synchronized void remove(final StreamConnection connection) {
        connections.remove(connection);
        notifyAll();
    }

    /**
     * Closes the listening sockets; accepted connections stay open.
     *
     * <p>The system resets connections that it has established and that are not accepted when their socket closes. So
     * the accepting thread itself closes the socket, right after it has accepted all that are there: a socket that
     * another thread closes stays open, without being accepted from, until the accepting thread runs again.
     */
    public void stopAccepting() {
        List<AcceptingChannel<StreamConnection>> open;
        synchronized (this) {
            open = List.copyOf(channels);
            channels.clear();
        }
        if (open.isEmpty() || worker.isShutdown()) {
            return;
        }
        CountDownLatch closed = new CountDownLatch(open.size());
        for (AcceptingChannel<StreamConnection> channel : open) {
            acceptingThread.execute(() -> acceptAndClose(channel, closed));
        }
        try {
            closed.await(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** Runs on the accepting thread, where the tasks that it starts run one directly after the other. */
    private void acceptAndClose(final AcceptingChannel<StreamConnection> channel, final CountDownLatch closed) {
        channel.wakeupAccepts();
        try {
            acceptingThread.execute(() -> {
                IoUtils.safeClose(channel);
                closed.countDown();
            });
        } catch (RejectedExecutionException exception) {
            // The server was closed before this thread could run.
            IoUtils.safeClose(channel);
        }
    }

    /**
     * Waits until no accepted connection is open. Call it after {@link #stopAccepting()}.
     *
     * @param timeoutMs the longest wait in milliseconds.
     * @return whether all connections are closed.
     * @throws InterruptedException if the thread is interrupted.
     */
    public boolean awaitConnectionsClosed(final long timeoutMs) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        if (!worker.isShutdown() && !awaitAcceptedConnections(timeoutMs)) {
            return false;
        }
        synchronized (this) {
            while (!connections.isEmpty()) {
                long remainingNanos = endNanos - System.nanoTime();
                if (remainingNanos <= 0) {
                    return false;
                }
                TimeUnit.NANOSECONDS.timedWait(this, remainingNanos);
            }
        }
        return true;
    }

    /** Waits until each I/O thread has begun the connections that were passed to it before. */
    private boolean awaitAcceptedConnections(final long timeoutMs) throws InterruptedException {
        CountDownLatch begun = new CountDownLatch(worker.getIoThreadCount());
        for (int thread = 0; thread < worker.getIoThreadCount(); thread++) {
            worker.getIoThread(thread).execute(begun::countDown);
        }
        return begun.await(timeoutMs, TimeUnit.MILLISECONDS);
    }

    /** Closes the listening sockets and all connections and stops the threads. */
    @Override
    public void close() {
        stopAccepting();
        List<StreamConnection> open;
        synchronized (this) {
            open = List.copyOf(connections);
        }
        open.forEach(IoUtils::safeClose);
        worker.shutdownNow();
    }
}
