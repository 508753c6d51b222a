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
 * HTTP client that reuses connections and returns complete responses only.
 *
 * <p>Thread-safe; never blocks. Each connection carries one request at a time. The worker belongs to the caller, who
 * closes this client before it. Invariant: every exchange ends within its timeout, whatever the peer does.
 */
public final class PooledHttpClient implements AutoCloseable {

    private static final int BUFFER_BYTES = 8_192;
    private static final int MAXIMUM_POOLED_BUFFERS = 256;
    private static final int BUFFERS_CACHED_PER_THREAD = 8;

    private final XnioWorker worker;
    private final ByteBufferPool buffers;
    private final ConnectionPool pool;
    private final int maximumResponseBytes;

    private final Timers timers;

    private PooledHttpClient(final XnioWorker worker, final Clock clock, final int maximumResponseBytes) {
        this.worker = worker;
        this.buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, MAXIMUM_POOLED_BUFFERS, BUFFERS_CACHED_PER_THREAD);
        this.pool = new ConnectionPool(clock);
        this.timers = new Timers();
        this.maximumResponseBytes = maximumResponseBytes;
    }

    /**
     * Creates a client.
     *
     * @param worker the worker whose threads run the connections, not null.
     * @param clock the clock that measures idle times, not null.
     * @param maximumResponseBytes the largest accepted body of a response, in bytes, zero or more.
     * @return a new client, never null.
     * @throws IllegalArgumentException if the maximum is negative.
     */
    public static PooledHttpClient of(final XnioWorker worker, final Clock clock, final int maximumResponseBytes) {
        Objects.requireNonNull(worker, "worker");
        Objects.requireNonNull(clock, "clock");
        if (maximumResponseBytes < 0) {
            throw new IllegalArgumentException("maximumResponseBytes must not be negative: " + maximumResponseBytes);
        }
        return new PooledHttpClient(worker, clock, maximumResponseBytes);
    }

    /**
     * Sends a request.
     *
     * @param address the address of the peer, not null.
     * @param request the request, not null.
     * @param timeoutMs the longest time for the whole exchange, in milliseconds; if not positive, nothing is
     *     sent.
     * @return completes with the complete response, or exceptionally with {@link HttpException}. Cancelling it closes
     *     the connection.
     */
    public CompletableFuture<CallResponse> send(
            final NodeAddress address, final HttpRequest request, final long timeoutMs) {
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(request, "request");
        CompletableFuture<CallResponse> result = new CompletableFuture<>();
        if (timeoutMs <= 0) {
            result.completeExceptionally(
                    new HttpException(HttpException.Kind.NOT_SENT, "no time left to send the request", null));
            return result;
        }
        HttpExchange exchange = new HttpExchange(request, result, maximumResponseBytes);
        Runnable cancelTimer = timers.after(timeoutMs, exchange::endWithTimeout);
        result.whenComplete((response, failure) -> cancelTimer.run());
        connect(address, request, exchange);
        return result;
    }

    private void connect(final NodeAddress address, final HttpRequest request, final HttpExchange exchange) {
        Optional<ClientConnection> pooled = pool.acquire(address, request.repeatable());
        if (pooled.isPresent()) {
            ClientConnection connection = pooled.get();
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
                pool.release(address, connection);
            } else {
                IoUtils.safeClose(connection);
            }
        });
    }

    /** Closes the idle connections and stops the timers; the timeouts of running exchanges no longer apply. */
    @Override
    public void close() {
        pool.close();
        timers.close();
    }

    /** Starts the exchange when the connection is established. */
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
