package org.sequoiashunt.http;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import org.jboss.logging.Logger;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Connection to an HTTP server that carries one request at a time.
 *
 * <p>{@link #close}, {@link #isOpen} and {@link #ioThread} may be called by any thread, everything else only on the I/O
 * thread of the connection. Invariants: bytes count as the response only if they arrive after the whole request has
 * been written and before the response is complete; bytes that arrive at any other time close the connection.
 */
final class HttpConnection implements AutoCloseable {

    private static final Logger LOGGER = Logger.getLogger(HttpConnection.class);

    /** Writing from the heap takes direct memory of the size of the piece for as long as the thread lives. */
    private static final int MAXIMUM_WRITE_BYTES = 65_536;

    private static final int READS_PER_EVENT = 16;

    private final StreamConnection connection;
    private final ByteBufferPool buffers;
    private Exchange exchange;

    private HttpConnection(final StreamConnection connection, final ByteBufferPool buffers) {
        this.connection = connection;
        this.buffers = buffers;
    }

    /**
     * Opens a connection.
     *
     * @param server the IP address and port, not null.
     * @param worker the worker whose threads run the connection, not null.
     * @param buffers the pool of the buffers to read into, not null.
     * @param result is completed on the connection's I/O thread, or exceptionally with {@link IOException}, not null.
     *     If it is completed otherwise before, the connection is not established or closed again.
     */
    static void open(
            final InetSocketAddress server,
            final XnioWorker worker,
            final ByteBufferPool buffers,
            final CompletableFuture<HttpConnection> result) {
        IoFuture<StreamConnection> opening = worker.openStreamConnection(
                server,
                opened -> {
                    HttpConnection established = new HttpConnection(opened, buffers);
                    established.listen();
                    if (!result.complete(established)) {
                        established.close();
                    }
                },
                OptionMap.create(Options.TCP_NODELAY, true));
        opening.addNotifier(
                new IoFuture.HandlingNotifier<StreamConnection, CompletableFuture<HttpConnection>>() {
                    @Override
                    public void handleFailed(
                            final IOException exception, final CompletableFuture<HttpConnection> future) {
                        future.completeExceptionally(exception);
                    }

                    @Override
                    public void handleCancelled(final CompletableFuture<HttpConnection> future) {
                        future.completeExceptionally(new IOException("the connection attempt was cancelled"));
                    }
                },
                result);
        result.whenComplete((established, failure) -> {
            if (failure != null) {
                opening.cancel();
            }
        });
    }

    private void listen() {
        connection.getSourceChannel().getReadSetter().set(this::handleReadable);
        connection.getSinkChannel().getWriteSetter().set(this::handleWritable);
        connection.getSourceChannel().resumeReads();
    }

    XnioIoThread ioThread() {
        return connection.getIoThread();
    }

    boolean isOpen() {
        return connection.isOpen();
    }

    /**
     * Tells whether a request can be sent; closes the connection if bytes have arrived that belong to no request, or if
     * the server has closed it.
     */
    boolean isClean() {
        if (exchange == null && connection.isOpen()) {
            checkIdle();
        }
        return exchange == null && connection.isOpen();
    }

    /**
     * Sends a request. The connection must be {@link #isClean clean}.
     *
     * @param request the bytes of the whole request, not null; they are consumed.
     * @param parser parses the response, not null.
     * @param listener is notified once on this thread when the response is complete or the exchange has failed; the
     *     connection is closed in the latter case.
     */
    void send(final Queue<ByteBuffer> request, final ResponseParser parser, final Listener listener) {
        exchange = new Exchange(request, parser, listener);
        handleWritable(connection.getSinkChannel());
    }

    private void handleWritable(final ConduitStreamSinkChannel sink) {
        if (exchange == null) {
            sink.suspendWrites();
            return;
        }
        try {
            Queue<ByteBuffer> request = exchange.request();
            while (!request.isEmpty()) {
                ByteBuffer next = request.element();
                int count = sink.write(next.slice(next.position(), Math.min(MAXIMUM_WRITE_BYTES, next.remaining())));
                next.position(next.position() + count);
                if (count == 0) {
                    sink.resumeWrites();
                    return;
                }
                if (!next.hasRemaining()) {
                    request.remove();
                }
            }
            sink.suspendWrites();
        } catch (IOException exception) {
            fail(exception);
        }
    }

    private void handleReadable(final ConduitStreamSourceChannel source) {
        if (exchange == null) {
            checkIdle();
            return;
        }
        Exchange current = exchange;
        try (PooledByteBuffer pooled = buffers.allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            for (int reads = 0; reads < READS_PER_EVENT && exchange == current; reads++) {
                buffer.clear();
                int count = source.read(buffer);
                if (count < 0) {
                    handleEnd(current);
                    return;
                }
                if (count == 0) {
                    return;
                }
                if (!current.request().isEmpty()) {
                    throw new InvalidResponseException("bytes arrived before the request was written");
                }
                buffer.flip();
                current.parser().parse(buffer);
                if (current.parser().isComplete()) {
                    complete(current, buffer.remaining());
                }
            }
        } catch (IOException exception) {
            fail(exception);
        }
    }

    private void handleEnd(final Exchange current) throws IOException {
        if (!current.parser().endInput()) {
            throw new IOException("the connection ended before the complete response arrived");
        }
        close();
        complete(current, 0);
    }

    private void complete(final Exchange completed, final int excessBytes) {
        exchange = null;
        if (excessBytes > 0) {
            LOGGER.warnf(
                    "closing the connection to %s: %d bytes or more follow a complete response with status %d",
                    connection.getPeerAddress(), excessBytes, completed.parser().status());
            close();
        }
        completed.listener().completed(completed.parser(), excessBytes > 0);
    }

    private void checkIdle() {
        try (PooledByteBuffer pooled = buffers.allocate()) {
            int count = connection.getSourceChannel().read(pooled.getBuffer());
            if (count > 0) {
                LOGGER.warnf(
                        "closing the connection to %s: %d bytes or more arrived that belong to no request",
                        connection.getPeerAddress(), count);
            }
            if (count != 0) {
                close();
            }
        } catch (IOException exception) {
            LOGGER.debugf(exception, "an idle connection to %s ended", connection.getPeerAddress());
            close();
        }
    }

    private void fail(final IOException exception) {
        close();
        if (exchange != null) {
            Listener listener = exchange.listener();
            exchange = null;
            listener.failed(exception);
        }
    }

    /** Closes the connection; the listener of a running exchange is not notified. */
    @Override
    public void close() {
        IoUtils.safeClose(connection);
    }

    /** Request that is being exchanged. Confined to the connection's thread. */
    private record Exchange(Queue<ByteBuffer> request, ResponseParser parser, Listener listener) {}

    /** Receives the end of an exchange. */
    interface Listener {

        /**
         * Receives a complete response.
         *
         * @param response the parser of the response, not null.
         * @param followed whether bytes that belong to no request followed at once; the connection is then closed.
         */
        void completed(ResponseParser response, boolean followed);

        /** Receives the reason why there is no complete response. */
        void failed(IOException reason);
    }
}
