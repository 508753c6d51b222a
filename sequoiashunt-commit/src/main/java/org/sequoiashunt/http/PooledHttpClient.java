package org.sequoiashunt.http;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.time.Clock;
import org.xnio.XnioWorker;

/**
 * HTTP client that reuses connections and returns complete responses only.
 *
 * <p>Thread-safe; never blocks. Each connection carries one request at a time. The worker belongs to the caller, who
 * closes this client before it. Invariant: every exchange ends within its timeout, whatever the peer does,
 * and the incomplete responses together take bounded memory.
 */
public final class PooledHttpClient implements AutoCloseable {

    private static final int BUFFER_BYTES = 8_192;
    private static final int MAXIMUM_POOLED_BUFFERS = 256;
    private static final int BUFFERS_CACHED_PER_THREAD = 8;

    /** Memory of all incomplete responses, unless the largest accepted response needs more. */
    private static final long RESPONSE_MEMORY_BYTES = 32 << 20;

    private static final long RESPONSES_IN_MEMORY = 4;

    private final XnioWorker worker;
    private final ByteBufferPool buffers;
    private final ConnectionPool pool;
    private final ResponseRules rules;
    private final Timers timers;

    private PooledHttpClient(final XnioWorker worker, final Clock clock, final ResponseRules rules) {
        this.worker = worker;
        this.buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, MAXIMUM_POOLED_BUFFERS, BUFFERS_CACHED_PER_THREAD);
        this.pool = new ConnectionPool(clock);
        this.timers = new Timers();
        this.rules = rules;
    }

    /**
     * Creates a client.
     *
     * @param worker the worker whose threads run the connections, not null.
     * @param clock the clock that measures idle times, not null.
     * @param maximumResponseBytes the largest accepted body of a response, in bytes, zero or more.
     * @param singleFields the names, in lower case, of the fields that may stand only once in the head of a response,
     *     beside those that state the end of its body, not null.
     * @return a new client, never null.
     * @throws IllegalArgumentException if the maximum is negative.
     */
    public static PooledHttpClient of(
            final XnioWorker worker,
            final Clock clock,
            final int maximumResponseBytes,
            final Set<String> singleFields) {
        Objects.requireNonNull(worker, "worker");
        Objects.requireNonNull(clock, "clock");
        long memoryBytes = Math.max(RESPONSE_MEMORY_BYTES, RESPONSES_IN_MEMORY * maximumResponseBytes);
        return new PooledHttpClient(
                worker,
                clock,
                new ResponseRules(maximumResponseBytes, singleFields, false, new ResponseMemory(memoryBytes)));
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
        HttpExchange exchange = new HttpExchange(request, result, rules);
        Runnable cancelTimer = timers.after(timeoutMs, exchange::endWithTimeout);
        result.whenComplete((response, failure) -> cancelTimer.run());
        connect(address, request, exchange);
        return result;
    }

    private void connect(final NodeAddress address, final HttpRequest request, final HttpExchange exchange) {
        Optional<HttpConnection> pooled = pool.acquire(address, request.repeatable());
        if (pooled.isPresent()) {
            HttpConnection connection = pooled.get();
            connection.ioThread().execute(() -> {
                if (connection.isClean()) {
                    start(address, connection, exchange);
                } else {
                    connect(address, request, exchange);
                }
            });
            return;
        }
        CompletableFuture<HttpConnection> opening = new CompletableFuture<>();
        opening.whenComplete((connection, failure) -> {
            if (failure != null) {
                exchange.fail(HttpException.Kind.NOT_SENT, "no connection to " + address, failure);
            } else if (connection.isClean()) {
                start(address, connection, exchange);
            } else {
                exchange.fail(HttpException.Kind.NOT_SENT, "no clean connection to " + address, null);
            }
        });
        HttpConnection.open(new InetSocketAddress(address.host(), address.port()), worker, buffers, opening);
    }

    private void start(final NodeAddress address, final HttpConnection connection, final HttpExchange exchange) {
        exchange.start(connection, address, reusable -> {
            if (reusable) {
                pool.release(address, connection);
            } else {
                connection.close();
            }
        });
    }

    /** Closes the idle connections and stops the timers; the timeouts of running exchanges no longer apply. */
    @Override
    public void close() {
        pool.close();
        timers.close();
    }
}
