package org.sequoiashunt.node.mesh;

import io.undertow.io.Receiver;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.HeaderField;
import org.sequoiashunt.call.Outcome;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.http.HopByHopHeaders;
import org.sequoiashunt.limit.RetryAfterPolicy;
import org.sequoiashunt.mesh.CallerLimits;
import org.sequoiashunt.mesh.MeshCall;
import org.sequoiashunt.mesh.MeshDispatcher;
import org.sequoiashunt.mesh.MeshRoute;
import org.sequoiashunt.time.Clock;
import org.xnio.IoUtils;

/**
 * Takes the requests of this VM's callers, whole and bounded, and answers them.
 *
 * <p>Thread-safe; never blocks. Invariants: each request gets exactly one answer, its own and whole, or its connection
 * is closed; 503 and 408 are sent only for a request that has not run and never will.
 */
final class MeshCallerHandler implements HttpHandler {

    /** Most requests held at a time, and most bytes of their bodies: a fraction of the memory of a node. */
    private static final int MAXIMUM_REQUESTS = 4_096;

    private static final long MAXIMUM_BODY_BYTES = 24 << 20;
    private static final double MS_PER_SECOND = 1_000;
    private static final Pattern WAIT = Pattern.compile("[0-9]{1,9}");

    private final Dependencies parts;
    private final AtomicInteger held = new AtomicInteger();
    private final AtomicLong heldBytes = new AtomicLong();

    MeshCallerHandler(final Dependencies parts) {
        this.parts = Objects.requireNonNull(parts, "parts");
    }

    /** Counts the requests that are being served. */
    int held() {
        return held.get();
    }

    @Override
    public void handleRequest(final HttpServerExchange exchange) {
        long arrivedMs = parts.clock().nowMs();
        if (parts.leaving().getAsBoolean()) {
            exchange.setPersistent(false);
        }
        HeaderValues ids = exchange.getRequestHeaders().get(parts.names().requestId());
        if (ids == null || ids.size() != 1) {
            refuse(exchange, StatusCodes.BAD_REQUEST, "one " + parts.names().requestId() + " is required");
            return;
        }
        MeshDispatcher.Match match =
                parts.dispatcher().match(exchange.getRequestHeaders().getFirst(Headers.HOST), exchange.getRequestURI());
        if (match.route().isEmpty()) {
            refuseUnmatched(exchange, ids.getFirst(), match.refusal());
            return;
        }
        long bytes = mostBodyBytes(exchange);
        if (bytes > parts.limits().get().maximumBodyBytes()) {
            exchange.setPersistent(false);
            refuse(exchange, StatusCodes.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
            return;
        }
        if (parts.closing().getAsBoolean()) {
            exchange.setPersistent(false);
            refuse(exchange, ids.getFirst(), match.route().get(), arrivedMs, CallResult.notRun(Reason.DRAINING));
            return;
        }
        if (held.get() >= MAXIMUM_REQUESTS || heldBytes.get() + bytes > MAXIMUM_BODY_BYTES) {
            refuse(exchange, ids.getFirst(), match.route().get(), arrivedMs, CallResult.notRun(Reason.QUEUE_FULL));
            return;
        }
        held.incrementAndGet();
        heldBytes.addAndGet(bytes);
        exchange.addExchangeCompleteListener((completed, next) -> {
            held.decrementAndGet();
            heldBytes.addAndGet(-bytes);
            next.proceed();
        });
        receive(exchange, match.route().get(), arrivedMs);
    }

    private static long mostBodyBytes(final HttpServerExchange exchange) {
        return exchange.isRequestComplete() ? 0 : Math.max(0, exchange.getRequestContentLength());
    }

    private void receive(final HttpServerExchange exchange, final MeshRoute route, final long arrivedMs) {
        int maximumBytes = (int) Math.min(parts.limits().get().maximumBodyBytes(), MAXIMUM_BODY_BYTES);
        exchange.setMaxEntitySize(maximumBytes);
        exchange.getRequestReceiver().setMaxBufferSize(maximumBytes);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (received, bytes) -> received.dispatch(
                                SameThreadExecutor.INSTANCE, () -> serve(received, route, bytes, arrivedMs)),
                        MeshCallerHandler::receiveFailed);
    }

    /** A request that did not arrive whole gets no answer: ending the exchange would send one that says success. */
    private static void receiveFailed(final HttpServerExchange exchange, final IOException exception) {
        boolean tooLarge =
                exception instanceof Receiver.RequestToLargeException || exception instanceof RequestTooBigException;
        if (tooLarge) {
            exchange.setPersistent(false);
            refuse(exchange, StatusCodes.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
        } else {
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    private void serve(
            final HttpServerExchange exchange, final MeshRoute route, final byte[] bytes, final long arrivedMs) {
        MeshCall call = callOf(exchange, route, bytes, arrivedMs);
        if (CallerDisconnectDetector.hasLeft(exchange)) {
            callerLeft(exchange, call, route);
            parts.metrics().callerLeft(route);
            return;
        }
        CompletableFuture<CallResult> result = parts.dispatcher().dispatch(call, route);
        if (!result.isDone()) {
            CallerDisconnectDetector.start(exchange, () -> {
                result.cancel(true);
                callerLeft(exchange, call, route);
            });
        }
        exchange.addExchangeCompleteListener((completed, next) -> {
            result.cancel(true);
            next.proceed();
        });
        result.whenComplete((ended, failure) -> {
            if (failure == null) {
                parts.metrics().ended(route, ended, parts.clock().nowMs() - arrivedMs);
                exchange.getIoThread().execute(() -> answer(exchange, call, route, ended));
            } else {
                parts.metrics().callerLeft(route);
            }
        });
    }

    private void callerLeft(final HttpServerExchange exchange, final MeshCall call, final MeshRoute route) {
        parts.log().log(
                LogKind.CALLER_LEFT,
                "request",
                call.requestId(),
                "route",
                route.name(),
                "afterMs",
                parts.clock().nowMs() - call.arrivedMs());
        IoUtils.safeClose(exchange.getConnection());
    }

    private MeshCall callOf(
            final HttpServerExchange exchange, final MeshRoute route, final byte[] bytes, final long arrivedMs) {
        String query = exchange.getQueryString();
        String path = exchange.getRequestURI();
        HeaderMap headers = exchange.getRequestHeaders();
        return new MeshCall(
                headers.getFirst(parts.names().requestId()),
                exchange.getRequestMethod().toString(),
                query.isEmpty() ? path : path + "?" + query,
                headersOf(exchange),
                Body.of(bytes),
                arrivedMs,
                arrivedMs + remainingMs(headers.getFirst(parts.names().remainingMs()), route));
    }

    /** A caller that does not say how long it waits waits for as long as the route allows. */
    private static long remainingMs(final String stated, final MeshRoute route) {
        if (stated == null || !WAIT.matcher(stated).matches()) {
            return route.timeoutMs();
        }
        return Long.parseLong(stated);
    }

    private List<HeaderField> headersOf(final HttpServerExchange exchange) {
        List<HeaderField> fields = new ArrayList<>();
        for (HeaderValues values : exchange.getRequestHeaders()) {
            String name = values.getHeaderName().toString();
            if (!isOwn(name)) {
                values.forEach(value -> fields.add(new HeaderField(name, value)));
            }
        }
        List<HeaderField> passed = new ArrayList<>(HopByHopHeaders.remove(fields));
        passed.add(new HeaderField(
                parts.names().callerService(), parts.ownService().get()));
        return passed;
    }

    /** Headers that the node sets itself, whatever the caller sent. */
    private boolean isOwn(final String name) {
        return name.equalsIgnoreCase(parts.names().callerService())
                || name.equalsIgnoreCase(parts.names().remainingMs())
                || name.equalsIgnoreCase(parts.names().expectedTarget());
    }

    private void answer(
            final HttpServerExchange exchange, final MeshCall call, final MeshRoute route, final CallResult result) {
        if (exchange.isResponseStarted()) {
            return;
        }
        if (parts.leaving().getAsBoolean()) {
            exchange.setPersistent(false);
        }
        if (result.answer().isPresent()) {
            pass(exchange, result.answer().get());
            parts.log().log(
                    LogKind.ANSWERED,
                    "request",
                    call.requestId(),
                    "route",
                    route.name(),
                    "status",
                    result.answer().get().status(),
                    "afterMs",
                    parts.clock().nowMs() - call.arrivedMs());
        } else if (result.outcome() == Outcome.NOT_RUN) {
            refuse(exchange, call.requestId(), route, call.arrivedMs(), result);
        } else {
            int status = result.reason() == Reason.DEADLINE ? StatusCodes.GATEWAY_TIME_OUT : StatusCodes.BAD_GATEWAY;
            parts.log().log(
                    LogKind.FAILED,
                    "request",
                    call.requestId(),
                    "route",
                    route.name(),
                    "status",
                    status,
                    "reason",
                    result.reason().text(),
                    "afterMs",
                    parts.clock().nowMs() - call.arrivedMs());
            refuse(exchange, status, result.reason().text());
        }
    }

    private static void pass(final HttpServerExchange exchange, final CallResponse answer) {
        exchange.setStatusCode(answer.status());
        HeaderMap headers = exchange.getResponseHeaders();
        answer.headers().forEach(field -> headers.add(new HttpString(field.name()), field.value()));
        exchange.getResponseSender().send(ByteBuffer.wrap(answer.body().bytes()));
    }

    private void refuseUnmatched(final HttpServerExchange exchange, final String requestId, final Reason reason) {
        parts.log().log(
                LogKind.REFUSED,
                "request",
                requestId,
                "reason",
                reason.text(),
                "host",
                String.valueOf(exchange.getRequestHeaders().getFirst(Headers.HOST)));
        parts.metrics().refused(reason);
        refuse(exchange, reason.status(), reason.text());
    }

    /** Refuses a request that has not run and never will, and tells its caller when to come back. */
    private void refuse(
            final HttpServerExchange exchange,
            final String requestId,
            final MeshRoute route,
            final long arrivedMs,
            final CallResult result) {
        long nowMs = parts.clock().nowMs();
        String stated = exchange.getRequestHeaders().getFirst(parts.names().remainingMs());
        long leftMs = remainingMs(stated, route) - (nowMs - arrivedMs);
        long delayMs = parts.advice().delayMs(result.waitMs(), leftMs);
        parts.log().log(
                LogKind.REFUSED,
                "request",
                requestId,
                "route",
                route.name(),
                "reason",
                result.reason().text(),
                "expectedWaitMs",
                result.waitMs(),
                "retryAfterMs",
                delayMs,
                "afterMs",
                nowMs - arrivedMs);
        exchange.getResponseHeaders().put(Headers.RETRY_AFTER, Double.toString(delayMs / MS_PER_SECOND));
        refuse(exchange, StatusCodes.SERVICE_UNAVAILABLE, result.reason().text());
    }

    private static void refuse(final HttpServerExchange exchange, final int status, final String text) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain; charset=utf-8");
        exchange.getResponseSender().send(text + "\n");
    }

    /**
     * What the handler uses. Immutable; thread-safe as its parts are.
     *
     * @param clock the clock.
     * @param names the names of the headers.
     * @param dispatcher serves the requests.
     * @param advice tells refused callers when to come back.
     * @param limits the bounds for callers in force.
     * @param ownService the service of this VM.
     * @param leaving whether the node shuts down.
     * @param closing whether it shuts down too soon for another request.
     * @param metrics counts the requests.
     * @param log takes the decisions.
     */
    record Dependencies(
            Clock clock,
            MeshHeaders names,
            MeshDispatcher dispatcher,
            RetryAfterPolicy advice,
            Supplier<CallerLimits> limits,
            Supplier<String> ownService,
            BooleanSupplier leaving,
            BooleanSupplier closing,
            MeshMetrics metrics,
            DecisionLog log) {}
}
