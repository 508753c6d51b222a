package org.sequoiashunt.node;

import io.undertow.io.Receiver;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.HeaderField;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.dispatch.CallDispatcher;
import org.sequoiashunt.dispatch.IncomingCall;
import org.sequoiashunt.execution.CrashTracker;
import org.sequoiashunt.http.HopByHopHeaders;
import org.sequoiashunt.http.Timers;
import org.xnio.IoUtils;

/**
 * Receives callers' requests completely, up to a limit of their size, and answers them.
 *
 * <p>Thread-safe; never blocks. Invariant: each request gets exactly one response, complete and meant for it, or
 * its connection is closed.
 */
public final class CallerHandler implements HttpHandler {

    private static final int MAXIMUM_IDEMPOTENCY_KEY_CHARACTERS = 200;
    private static final long RECEIVE_TIMEOUT_MS = 15_000;

    /** Headers that are not forwarded: meant only for this node, or not allowed from callers. */
    private static final Set<String> UNFORWARDED_HEADERS = Set.of(
            Headers.HOST_STRING.toLowerCase(Locale.ROOT),
            CallHeaders.TIMEOUT_MS.toLowerCase(Locale.ROOT),
            CrashTracker.SUSPECT_HEADER.toLowerCase(Locale.ROOT));

    private final CallDispatcher dispatcher;
    private final CallerAdmission admission;
    private final CallMetrics metrics;
    private final Timers timers;
    private final int maximumBodyBytes;

    /**
     * Creates a handler.
     *
     * @param dispatcher serves the requests, not null.
     * @param admission limits the requests in progress, not null.
     * @param metrics counts and times the requests, not null.
     * @param timers close connections whose request does not arrive completely in time, not null.
     * @param maximumBodyBytes the largest body of a request, in bytes.
     */
    public CallerHandler(
            final CallDispatcher dispatcher,
            final CallerAdmission admission,
            final CallMetrics metrics,
            final Timers timers,
            final int maximumBodyBytes) {
        this.dispatcher = Objects.requireNonNull(dispatcher, "dispatcher");
        this.admission = Objects.requireNonNull(admission, "admission");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.timers = Objects.requireNonNull(timers, "timers");
        this.maximumBodyBytes = maximumBodyBytes;
    }

    @Override
    public void handleRequest(final HttpServerExchange exchange) {
        if (exchange.getRequestContentLength() > maximumBodyBytes) {
            refuseLargeBody(exchange);
            return;
        }
        long admittedBytes = largestPossibleBodyBytes(exchange);
        Optional<Reason> refusal = admission.tryAdmit(admittedBytes);
        if (refusal.isPresent()) {
            exchange.setPersistent(refusal.get() != Reason.DRAINING);
            CallResponseWriter.writeRefusal(exchange, refusalOf(exchange, refusal.get()));
            return;
        }
        exchange.addExchangeCompleteListener((completed, next) -> {
            admission.release(admittedBytes);
            next.proceed();
        });
        receive(exchange);
    }

    /** A request with an idempotency key has an unknown outcome: without a claim, it may repeat one that ran. */
    private static CallResult refusalOf(final HttpServerExchange exchange, final Reason reason) {
        boolean hasIdempotencyKey = exchange.getRequestHeaders().contains(CallHeaders.IDEMPOTENCY_KEY);
        return hasIdempotencyKey ? CallResult.unknown(reason) : CallResult.notRun(reason);
    }

    /** A body without a declared length may have any size up to the limit. */
    private long largestPossibleBodyBytes(final HttpServerExchange exchange) {
        if (exchange.isRequestComplete()) {
            return 0;
        }
        long declaredBytes = exchange.getRequestContentLength();
        return declaredBytes >= 0 ? declaredBytes : maximumBodyBytes;
    }

    private void receive(final HttpServerExchange exchange) {
        exchange.setMaxEntitySize(maximumBodyBytes);
        exchange.getRequestReceiver().setMaxBufferSize(maximumBodyBytes);
        Runnable cancelTimer = timers.after(RECEIVE_TIMEOUT_MS, () -> IoUtils.safeClose(exchange.getConnection()));
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (received, bytes) -> {
                            cancelTimer.run();
                            onRequestReceived(received, bytes);
                        },
                        (failed, exception) -> {
                            cancelTimer.run();
                            onReceiveFailure(failed, exception);
                        });
    }

    /** Closes the connection of an incomplete request: ending the exchange would send a response with success. */
    private static void onReceiveFailure(final HttpServerExchange exchange, final IOException exception) {
        boolean tooLarge =
                exception instanceof Receiver.RequestToLargeException || exception instanceof RequestTooBigException;
        if (tooLarge) {
            refuseLargeBody(exchange);
        } else {
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    private static void refuseLargeBody(final HttpServerExchange exchange) {
        exchange.setPersistent(false);
        CallResponseWriter.writeRefusal(exchange, CallResult.notRun(Reason.TOO_LARGE));
    }

    private void onRequestReceived(final HttpServerExchange exchange, final byte[] bytes) {
        Optional<String> problem = findProblem(exchange);
        if (problem.isPresent()) {
            CallResponseWriter.writeBadRequest(exchange, problem.get());
            return;
        }
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> serve(exchange, bytes));
    }

    private void serve(final HttpServerExchange exchange, final byte[] bytes) {
        long startedNanos = System.nanoTime();
        CompletableFuture<CallResult> result = dispatcher.dispatch(incomingCall(exchange, bytes));
        exchange.addExchangeCompleteListener((completed, next) -> {
            result.cancel(true);
            next.proceed();
        });
        result.whenComplete((ended, failure) -> {
            CallResult finalResult = failure == null ? ended : CallResult.unknown(Reason.CANCELLED);
            metrics.callEnded(finalResult, System.nanoTime() - startedNanos);
            exchange.getIoThread().execute(() -> CallResponseWriter.writeResult(exchange, finalResult));
        });
    }

    private static Optional<String> findProblem(final HttpServerExchange exchange) {
        String timeout = exchange.getRequestHeaders().getFirst(CallHeaders.TIMEOUT_MS);
        if (timeout != null && !timeout.matches("[0-9]{1,9}")) {
            return Optional.of(CallHeaders.TIMEOUT_MS + " must be a whole number of milliseconds");
        }
        HeaderValues keys = exchange.getRequestHeaders().get(CallHeaders.IDEMPOTENCY_KEY);
        if (keys != null && (keys.size() > 1 || !isValidIdempotencyKey(keys.getFirst()))) {
            return Optional.of(CallHeaders.IDEMPOTENCY_KEY + " must be one value of 1 to "
                    + MAXIMUM_IDEMPOTENCY_KEY_CHARACTERS + " characters");
        }
        return Optional.empty();
    }

    private static boolean isValidIdempotencyKey(final String key) {
        return !key.isBlank() && key.length() <= MAXIMUM_IDEMPOTENCY_KEY_CHARACTERS;
    }

    private static IncomingCall incomingCall(final HttpServerExchange exchange, final byte[] bytes) {
        String query = exchange.getQueryString();
        String path = exchange.getRequestURI();
        String timeout = exchange.getRequestHeaders().getFirst(CallHeaders.TIMEOUT_MS);
        return new IncomingCall(
                serviceOf(exchange),
                exchange.getRequestMethod().toString(),
                path,
                query.isEmpty() ? path : path + "?" + query,
                headersOf(exchange),
                Body.of(bytes),
                Optional.ofNullable(exchange.getRequestHeaders().getFirst(CallHeaders.IDEMPOTENCY_KEY)),
                timeout == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(timeout)));
    }

    private static String serviceOf(final HttpServerExchange exchange) {
        String serviceHeader = exchange.getRequestHeaders().getFirst(CallHeaders.SERVICE);
        if (serviceHeader != null) {
            return serviceHeader;
        }
        String host = exchange.getHostName();
        int dot = host.indexOf('.');
        return dot < 0 ? host : host.substring(0, dot);
    }

    private static List<HeaderField> headersOf(final HttpServerExchange exchange) {
        List<HeaderField> fields = new ArrayList<>();
        for (HeaderValues values : exchange.getRequestHeaders()) {
            String name = values.getHeaderName().toString();
            if (!UNFORWARDED_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
                values.forEach(value -> fields.add(new HeaderField(name, value)));
            }
        }
        return HopByHopHeaders.remove(fields);
    }
}
