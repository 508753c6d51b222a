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
 * Takes callers' requests, whole and bounded, and answers them.
 *
 * <p>Thread-safe; never blocks. Invariant: each request gets exactly one answer, its own and whole, or its connection
 * is closed.
 */
public final class CallerHandler implements HttpHandler {

    private static final int MAXIMUM_KEY_CHARACTERS = 200;
    private static final long RECEIVE_TIMEOUT_MS = 15_000;

    /** Headers that concern this node alone, or that callers may not set. */
    private static final Set<String> OWN_HEADERS = Set.of(
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
     * @param admission bounds the requests held at a time, not null.
     * @param metrics counts the requests, not null.
     * @param timers end requests that never arrive whole, not null.
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
        long bytes = mostBodyBytes(exchange);
        Optional<Reason> refusal = admission.enter(bytes);
        if (refusal.isPresent()) {
            exchange.setPersistent(refusal.get() != Reason.DRAINING);
            CallResponseWriter.refuse(exchange, refusalOf(exchange, refusal.get()));
            return;
        }
        exchange.addExchangeCompleteListener((completed, next) -> {
            admission.leave(bytes);
            next.proceed();
        });
        receive(exchange);
    }

    /** A request whose key was not judged may repeat one that ran. */
    private static CallResult refusalOf(final HttpServerExchange exchange, final Reason reason) {
        boolean keyed = exchange.getRequestHeaders().contains(CallHeaders.IDEMPOTENCY_KEY);
        return keyed ? CallResult.unknown(reason) : CallResult.notRun(reason);
    }

    /** A body without a stated length may have any up to the bound. */
    private long mostBodyBytes(final HttpServerExchange exchange) {
        if (exchange.isRequestComplete()) {
            return 0;
        }
        long stated = exchange.getRequestContentLength();
        return stated >= 0 ? stated : maximumBodyBytes;
    }

    private void receive(final HttpServerExchange exchange) {
        exchange.setMaxEntitySize(maximumBodyBytes);
        exchange.getRequestReceiver().setMaxBufferSize(maximumBodyBytes);
        Runnable cancelTimer = timers.after(RECEIVE_TIMEOUT_MS, () -> IoUtils.safeClose(exchange.getConnection()));
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (received, bytes) -> {
                            cancelTimer.run();
                            received(received, bytes);
                        },
                        (failed, exception) -> {
                            cancelTimer.run();
                            receiveFailed(failed, exception);
                        });
    }

    /** A request that did not arrive whole gets no answer: ending the exchange would send one that says success. */
    private static void receiveFailed(final HttpServerExchange exchange, final IOException exception) {
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
        CallResponseWriter.refuse(exchange, CallResult.notRun(Reason.TOO_LARGE));
    }

    private void received(final HttpServerExchange exchange, final byte[] bytes) {
        Optional<String> problem = problemOf(exchange);
        if (problem.isPresent()) {
            CallResponseWriter.reject(exchange, problem.get());
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
            CallResult known = failure == null ? ended : CallResult.unknown(Reason.CANCELLED);
            metrics.callEnded(known, System.nanoTime() - startedNanos);
            exchange.getIoThread().execute(() -> CallResponseWriter.answer(exchange, known));
        });
    }

    private static Optional<String> problemOf(final HttpServerExchange exchange) {
        String timeout = exchange.getRequestHeaders().getFirst(CallHeaders.TIMEOUT_MS);
        if (timeout != null && !timeout.matches("[0-9]{1,9}")) {
            return Optional.of(CallHeaders.TIMEOUT_MS + " must be a whole number of milliseconds");
        }
        HeaderValues keys = exchange.getRequestHeaders().get(CallHeaders.IDEMPOTENCY_KEY);
        if (keys != null && (keys.size() > 1 || !isKey(keys.getFirst()))) {
            return Optional.of(CallHeaders.IDEMPOTENCY_KEY + " must be one value of 1 to " + MAXIMUM_KEY_CHARACTERS
                    + " characters");
        }
        return Optional.empty();
    }

    private static boolean isKey(final String key) {
        return !key.isBlank() && key.length() <= MAXIMUM_KEY_CHARACTERS;
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
        String named = exchange.getRequestHeaders().getFirst(CallHeaders.SERVICE);
        if (named != null) {
            return named;
        }
        String host = exchange.getHostName();
        int dot = host.indexOf('.');
        return dot < 0 ? host : host.substring(0, dot);
    }

    private static List<HeaderField> headersOf(final HttpServerExchange exchange) {
        List<HeaderField> fields = new ArrayList<>();
        for (HeaderValues values : exchange.getRequestHeaders()) {
            String name = values.getHeaderName().toString();
            if (!OWN_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
                values.forEach(value -> fields.add(new HeaderField(name, value)));
            }
        }
        return HopByHopHeaders.remove(fields);
    }
}
