package org.sequoiashunt.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.time.Clock;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioWorker;

/**
 * Sends HTTP requests over kept connections and gives back whole answers only.
 *
 * <p>Thread-safe; never blocks. Each connection carries one request at a time. The worker belongs to the caller and
 * outlives this object. Invariant: an exchange ends by its timeout, whatever the peer does.
 */
public final class PooledHttpClient implements AutoCloseable {

    private static final int BUFFER_BYTES = 8_192;
    private static final int POOLED_BUFFERS = 256;
    private static final int THREAD_CACHED_BUFFERS = 8;

    private final XnioWorker worker;
    private final ByteBufferPool buffers;
    private final ConnectionPool pool;
    private final int maximumAnswerBytes;

    private final Timers timers;

    private PooledHttpClient(final XnioWorker worker, final Clock clock, final int maximumAnswerBytes) {
        this.worker = worker;
        this.buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, POOLED_BUFFERS, THREAD_CACHED_BUFFERS);
        this.pool = new ConnectionPool(clock);
        this.timers = new Timers();
        this.maximumAnswerBytes = maximumAnswerBytes;
    }

    /**
     * Creates an exchanger.
     *
     * @param worker runs the connections, not null.
     * @param clock the clock, not null.
     * @param maximumAnswerBytes the largest body of an answer, in bytes.
     * @return the exchanger, never null.
     * @throws IllegalArgumentException if the bound is negative.
     */
    public static PooledHttpClient of(final XnioWorker worker, final Clock clock, final int maximumAnswerBytes) {
        Objects.requireNonNull(worker, "worker");
        Objects.requireNonNull(clock, "clock");
        if (maximumAnswerBytes < 0) {
            throw new IllegalArgumentException("maximumAnswerBytes must not be negative: " + maximumAnswerBytes);
        }
        return new PooledHttpClient(worker, clock, maximumAnswerBytes);
    }

    /**
     * Sends a request.
     *
     * @param address the peer, not null.
     * @param request the request, not null.
     * @param timeoutMs the longest time for the whole exchange, in milliseconds.
     * @return completes with the whole answer, or exceptionally with {@link HttpException}. Cancelling it closes the
     *     connection.
     */
    public CompletableFuture<CallResponse> send(
            final NodeAddress address, final HttpRequest request, final long timeoutMs) {
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(request, "request");
        CompletableFuture<CallResponse> result = new CompletableFuture<>();
        if (timeoutMs <= 0) {
            result.completeExceptionally(new HttpException(HttpException.Kind.NOT_SENT, "no time left", null));
            return result;
        }
        HttpExchange exchange = new HttpExchange(request, result, maximumAnswerBytes);
        Runnable cancelTimer = timers.after(timeoutMs, exchange::timedOut);
        result.whenComplete((answer, failure) -> cancelTimer.run());
        connect(address, request, exchange);
        return result;
    }

    private void connect(final NodeAddress address, final HttpRequest request, final HttpExchange exchange) {
        Optional<ClientConnection> kept = pool.take(address, request.repeatable());
        if (kept.isPresent()) {
            ClientConnection connection = kept.get();
            connection.getIoThread().execute(() -> start(address, connection, exchange));
            return;
        }
        URI uri = URI.create("http://" + address);
        UndertowClient.getInstance()
                .connect(new ConnectCallback(address, exchange), uri, worker, buffers, OptionMap.EMPTY);
    }

    private void start(final NodeAddress address, final ClientConnection connection, final HttpExchange exchange) {
        exchange.start(connection, address, reusable -> {
            if (reusable) {
                pool.give(address, connection);
            } else {
                IoUtils.safeClose(connection);
            }
        });
    }

    /** Closes the kept connections and ends the timers; exchanges under way lose their timeout. */
    @Override
    public void close() {
        pool.close();
        timers.close();
    }

    /** Starts the exchange once the connection stands. */
    private final class ConnectCallback implements ClientCallback<ClientConnection> {

        private final NodeAddress address;
        private final HttpExchange exchange;

        private ConnectCallback(final NodeAddress address, final HttpExchange exchange) {
            this.address = address;
            this.exchange = exchange;
        }

        @Override
        public void completed(final ClientConnection connection) {
            start(address, connection, exchange);
        }

        @Override
        public void failed(final IOException failure) {
            exchange.fail(HttpException.Kind.NOT_SENT, "no connection to " + address, failure);
        }
    }
}
