package org.sequoiashunt.node.mesh;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.pipeline.ReadAheadBudget;
import org.sequoiashunt.pipeline.ReadAheadCalls;

/**
 * Connects the calls that run ahead with the connections and requests of the HTTP server.
 *
 * <p>Thread-safe; the methods that take an exchange are confined to its I/O thread. Invariant: once a connection is
 * closed or a response closes it, none of its calls runs ahead.
 */
final class PipelinedRequests {

    /** Results are held until their turn; 256 of 10 kB are 2.6 MB. */
    private static final int MAXIMUM_CALLS = 256;

    /** Bytes of kept results: about 1% of the memory of a small VM of 330 MB. */
    private static final long MAXIMUM_BYTES = 4_000_000;

    private static final AttachmentKey<ReadAheadCalls> CALLS = AttachmentKey.create(ReadAheadCalls.class);

    private final ReadAheadBudget budget = new ReadAheadBudget(MAXIMUM_CALLS, MAXIMUM_BYTES);
    private final ReadAheadCalls.Dispatcher dispatcher;
    private final MeshMetrics metrics;
    private final IntSupplier maximumHeadBytes;

    /**
     * Creates the pipelining of a listener.
     *
     * @param dispatcher creates and dispatches calls, not null.
     * @param maximumHeadBytes supplies the largest length of the head of a request, in bytes.
     * @param metrics counts the requests that are read ahead, not null.
     */
    PipelinedRequests(
            final ReadAheadCalls.Dispatcher dispatcher, final IntSupplier maximumHeadBytes, final MeshMetrics metrics) {
        this.dispatcher = Objects.requireNonNull(dispatcher, "dispatcher");
        this.maximumHeadBytes = Objects.requireNonNull(maximumHeadBytes, "maximumHeadBytes");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    /** Starts a request that the server has reached; requestId is null if it has none. */
    void begin(final HttpServerExchange exchange, final String requestId) {
        ReadAheadCalls calls = exchange.getConnection().getAttachment(CALLS);
        if (calls != null) {
            calls.begin(requestId);
            exchange.addExchangeCompleteListener((completed, next) -> {
                calls.endCurrent();
                next.proceed();
            });
        }
    }

    /** Returns whether a call for the request that the server has reached runs or may have run, and was not taken. */
    boolean mayHaveRun(final HttpServerExchange exchange) {
        ReadAheadCalls calls = exchange.getConnection().getAttachment(CALLS);
        return calls != null && calls.mayHaveRun();
    }

    /** Returns whether calls run for requests behind this one, which are lost if its response closes the connection. */
    boolean hasCallsBehind(final HttpServerExchange exchange) {
        ReadAheadCalls calls = exchange.getConnection().getAttachment(CALLS);
        return calls != null && calls.hasCallsBehind();
    }

    /** Takes the call that runs ahead for a request that the server has reached. */
    Optional<ReadAheadCalls.RunningCall> take(final HttpServerExchange exchange, final ReadAheadCalls.Request request) {
        ReadAheadCalls calls = exchange.getConnection().getAttachment(CALLS);
        return calls == null ? Optional.empty() : calls.take(request);
    }

    /**
     * Watches the connection of a request that is being served, and runs the requests behind it ahead. Nothing runs
     * ahead of a request that is not idempotent, since its caller may rely on the order, nor behind one whose response
     * closes the connection.
     *
     * @param exchange the request, whose body has been read completely, not null.
     * @param idempotent whether the request may run more than once.
     * @param result the result of the request, not null.
     * @param onDisconnect runs once if the caller disconnects, not null.
     */
    void watch(
            final HttpServerExchange exchange,
            final boolean idempotent,
            final CompletableFuture<CallResult> result,
            final Runnable onDisconnect) {
        if (idempotent) {
            advance(exchange, CallerDisconnectDetector.bytesBehind(exchange));
        }
        if (!result.isDone()) {
            CallerDisconnectDetector.start(exchange, onDisconnect, bytes -> {
                if (idempotent) {
                    advance(exchange, bytes);
                }
            });
        }
        exchange.addExchangeCompleteListener((completed, next) -> {
            if (!completed.isPersistent()) {
                closeCalls(completed.getConnection());
            }
            next.proceed();
        });
    }

    private void advance(final HttpServerExchange exchange, final byte[] bytes) {
        if (bytes.length > 0 && exchange.isPersistent()) {
            callsOf(exchange.getConnection()).advance(bytes, maximumHeadBytes.getAsInt(), dispatcher);
        }
    }

    private ReadAheadCalls callsOf(final ServerConnection connection) {
        ReadAheadCalls known = connection.getAttachment(CALLS);
        if (known != null) {
            return known;
        }
        ReadAheadCalls created = new ReadAheadCalls(
                budget,
                (route, step) -> metrics.countReadAhead(route, step.name().toLowerCase(Locale.ROOT)));
        connection.putAttachment(CALLS, created);
        connection.addCloseListener(PipelinedRequests::closeCalls);
        if (!connection.isOpen()) {
            created.close();
        }
        return created;
    }

    private static void closeCalls(final ServerConnection connection) {
        ReadAheadCalls calls = connection.getAttachment(CALLS);
        if (calls != null) {
            calls.close();
        }
    }
}
