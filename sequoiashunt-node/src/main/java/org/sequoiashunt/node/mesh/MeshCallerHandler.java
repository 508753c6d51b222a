package org.sequoiashunt.node.mesh;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
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
import org.sequoiashunt.pipeline.ReadAheadCalls;
import org.sequoiashunt.pipeline.RequestHead;
import org.sequoiashunt.time.Clock;
import org.xnio.IoUtils;

/**
 * Receives the HTTP requests of this VM's callers, dispatches them and sends the results back.
 *
 * <p>Requests are read completely before they are dispatched; their number is bounded here, and their memory by the
 * listener.
 *
 * <p>Thread-safe; never blocks. Invariants: each request gets exactly one complete answer, which belongs to it, or its
 * connection is closed; 429, 503 and 408 are sent only for a request that has not run and never will.
 */
final class MeshCallerHandler implements HttpHandler {

    /** Most requests served at a time; {@link InputLimits} bounds their memory. */
    private static final int MAXIMUM_ACTIVE_REQUESTS = 4_096;

    private static final double MS_PER_SECOND = 1_000;
    private static final Pattern REMAINING_MS_PATTERN = Pattern.compile("[0-9]{1,9}");

    private final Dependencies dependencies;
    private final AtomicInteger activeRequests = new AtomicInteger();
    private final PipelinedRequests pipelinedRequests;

    MeshCallerHandler(final Dependencies dependencies) {
        this.dependencies = Objects.requireNonNull(dependencies, "dependencies");
        pipelinedRequests = new PipelinedRequests(
                new ReadAheadDispatcher(),
                () -> dependencies.limits().get().maximumHeaderBytes(),
                dependencies.metrics());
    }

    /** Returns the number of requests that are being served. */
    int activeRequests() {
        return activeRequests.get();
    }

    @Override
    public void handleRequest(final HttpServerExchange exchange) {
        long arrivedMs = dependencies.clock().nowMs();
        HeaderValues requestIds =
                exchange.getRequestHeaders().get(dependencies.headerNames().requestId());
        pipelinedRequests.begin(exchange, requestIds == null ? null : requestIds.getFirst());
        closeAfterResponseIfDraining(exchange);
        if (requestIds == null || requestIds.size() != 1) {
            refuse(
                    exchange,
                    StatusCodes.BAD_REQUEST,
                    "one " + dependencies.headerNames().requestId() + " is required");
            return;
        }
        MeshDispatcher.Match match = dependencies
                .dispatcher()
                .match(exchange.getRequestHeaders().getFirst(Headers.HOST), exchange.getRequestURI());
        if (match.route().isEmpty()) {
            refuseUnmatched(exchange, requestIds.getFirst(), match.refusal());
            return;
        }
        CallerIdentification identification = CallerIdentification.of(
                exchange.getRequestHeaders(), match.route().get(), match.organisations());
        if (!identification.permitted()) {
            refuseUnidentified(exchange, requestIds.getFirst(), match.route().get());
            return;
        }
        if (exchange.getRequestContentLength() > dependencies.limits().get().maximumBodyBytes()) {
            exchange.setPersistent(false);
            refuse(exchange, StatusCodes.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
            return;
        }
        boolean runsAhead = pipelinedRequests.mayHaveRun(exchange);
        if (!runsAhead && dependencies.refusingRequests().getAsBoolean()) {
            exchange.setPersistent(false);
            refuse(exchange, requestIds.getFirst(), match.route().get(), arrivedMs, CallResult.notRun(Reason.DRAINING));
            return;
        }
        if (!runsAhead && activeRequests.get() >= MAXIMUM_ACTIVE_REQUESTS) {
            refuse(
                    exchange,
                    requestIds.getFirst(),
                    match.route().get(),
                    arrivedMs,
                    CallResult.notRun(Reason.QUEUE_FULL));
            return;
        }
        activeRequests.incrementAndGet();
        exchange.addExchangeCompleteListener((completed, next) -> {
            activeRequests.decrementAndGet();
            next.proceed();
        });
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () -> receiveBody(exchange, match.route().get(), identification, arrivedMs));
    }

    /** Keeps the connection open while calls run for requests behind this one: they have reached targets. */
    private void closeAfterResponseIfDraining(final HttpServerExchange exchange) {
        if (dependencies.draining().getAsBoolean() && !pipelinedRequests.hasCallsBehind(exchange)) {
            exchange.setPersistent(false);
        }
    }

    private void receiveBody(
            final HttpServerExchange exchange,
            final MeshRoute route,
            final CallerIdentification identification,
            final long arrivedMs) {
        String statedRemainingMs =
                exchange.getRequestHeaders().getFirst(dependencies.headerNames().remainingMs());
        RequestBodyReceiver.Limits limits = new RequestBodyReceiver.Limits(
                dependencies.limits().get().maximumBodyBytes(),
                Math.min(remainingMs(statedRemainingMs, route), route.timeoutMs()));
        RequestBodyReceiver.receive(exchange, limits, new RequestBodyReceiver.Handler() {
            @Override
            public void handleBody(final byte[] body) {
                serve(exchange, route, createCall(exchange, route, identification, body, arrivedMs));
            }

            @Override
            public void handleRefusal(final InputRefusal refusal) {
                if (refusal.mayBeRetried()) {
                    exchange.getResponseHeaders().put(Headers.RETRY_AFTER, InputRefusal.RETRY_AFTER_S);
                }
                refuse(exchange, refusal.status(), refusal.text());
            }
        });
    }

    private void serve(final HttpServerExchange exchange, final MeshRoute route, final MeshCall reachedCall) {
        if (CallerDisconnectDetector.hasDisconnected(exchange)) {
            handleCallerDisconnect(exchange, reachedCall, route);
            dependencies.metrics().countCallerDisconnect(route);
            return;
        }
        Optional<ReadAheadCalls.RunningCall> ahead =
                pipelinedRequests.take(exchange, new ReadAheadCalls.Request(reachedCall, route));
        if (ahead.isEmpty() && dependencies.refusingRequests().getAsBoolean()) {
            sendResult(exchange, reachedCall, route, CallResult.notRun(Reason.DRAINING));
            return;
        }
        ReadAheadCalls.RunningCall running =
                ahead.orElseGet(() -> new ReadAheadCalls.RunningCall(reachedCall, dispatch(reachedCall, route)));
        serve(exchange, route, running.call(), running.result());
    }

    /** Dispatches a call, whether the server has reached its request or the request is read ahead. */
    private CompletableFuture<CallResult> dispatch(final MeshCall call, final MeshRoute route) {
        long beforeMs = dependencies.clock().nowMs();
        long quotaWaitMs = quotaWaitMs(call);
        if (quotaWaitMs > 0) {
            return CompletableFuture.completedFuture(
                    CallResult.notRun(Reason.QUOTA_EXCEEDED).withExpectedWait(quotaWaitMs));
        }
        CompletableFuture<CallResult> result = dependencies.dispatcher().dispatch(call, route);
        call.organisation()
                .ifPresent(organisation -> result.thenAccept(ended -> {
                    if (ended.outcome() == Outcome.NOT_RUN) {
                        dependencies.quota().giveBack(organisation, beforeMs);
                    }
                }));
        return result;
    }

    private void serve(
            final HttpServerExchange exchange,
            final MeshRoute route,
            final MeshCall call,
            final CompletableFuture<CallResult> result) {
        long arrivedMs = call.arrivedMs();
        pipelinedRequests.watch(exchange, route.idempotent(), result, () -> {
            result.cancel(true);
            handleCallerDisconnect(exchange, call, route);
        });
        exchange.addExchangeCompleteListener((completed, next) -> {
            result.cancel(true);
            next.proceed();
        });
        result.whenComplete((ended, failure) -> {
            if (failure == null) {
                dependencies
                        .metrics()
                        .recordResult(route, ended, dependencies.clock().nowMs() - arrivedMs);
                exchange.getIoThread().execute(() -> sendResult(exchange, call, route, ended));
            } else {
                dependencies.metrics().countCallerDisconnect(route);
            }
        });
    }

    /** Returns after how many milliseconds the organisation may send again, 0 if the request may run now. */
    private long quotaWaitMs(final MeshCall call) {
        return call.organisation()
                .map(organisation -> dependencies.quota().tryAcquire(organisation))
                .filter(decision -> !decision.admitted())
                .map(decision -> Math.max(1, decision.expectedWaitMs()))
                .orElse(0L);
    }

    private void handleCallerDisconnect(final HttpServerExchange exchange, final MeshCall call, final MeshRoute route) {
        dependencies.log().log(
                LogKind.CALLER_LEFT,
                "request",
                call.requestId(),
                "route",
                route.name(),
                "afterMs",
                dependencies.clock().nowMs() - call.arrivedMs());
        IoUtils.safeClose(exchange.getConnection());
    }

    private MeshCall createCall(
            final HttpServerExchange exchange,
            final MeshRoute route,
            final CallerIdentification identification,
            final byte[] body,
            final long arrivedMs) {
        String query = exchange.getQueryString();
        String path = exchange.getRequestURI();
        return createCall(
                exchange.getRequestMethod().toString(),
                query.isEmpty() ? path : path + "?" + query,
                exchange.getRequestHeaders(),
                route,
                identification,
                body,
                arrivedMs);
    }

    private MeshCall createCall(
            final String method,
            final String uri,
            final HeaderMap headers,
            final MeshRoute route,
            final CallerIdentification identification,
            final byte[] body,
            final long arrivedMs) {
        return new MeshCall(
                headers.getFirst(dependencies.headerNames().requestId()),
                method,
                uri,
                forwardedHeaders(headers, identification),
                Body.of(body),
                identification.organisation(),
                identification.rank(),
                arrivedMs,
                arrivedMs
                        + remainingMs(
                                headers.getFirst(dependencies.headerNames().remainingMs()), route));
    }

    /** Creates and dispatches the calls of requests that are read ahead, by the rules that apply once it is reached. */
    private final class ReadAheadDispatcher implements ReadAheadCalls.Dispatcher {

        @Override
        public Optional<ReadAheadCalls.Request> prepare(final RequestHead head) {
            HeaderMap headers = new HeaderMap();
            head.fields().forEach(field -> headers.add(new HttpString(field.name()), field.value()));
            MeshDispatcher.Match match = dependencies.dispatcher().match(headers.getFirst(Headers.HOST), head.path());
            if (match.route().isEmpty()
                    || !headers.contains(dependencies.headerNames().requestId())
                    || dependencies.draining().getAsBoolean()
                    || activeRequests.get() >= MAXIMUM_ACTIVE_REQUESTS) {
                return Optional.empty();
            }
            MeshRoute route = match.route().get();
            CallerIdentification identification = CallerIdentification.of(headers, route, match.organisations());
            if (!identification.permitted()) {
                return Optional.empty();
            }
            long arrivedMs = dependencies.clock().nowMs();
            MeshCall call =
                    createCall(Methods.GET_STRING, head.uri(), headers, route, identification, new byte[0], arrivedMs);
            return Optional.of(new ReadAheadCalls.Request(call, route));
        }

        @Override
        public CompletableFuture<CallResult> dispatch(final ReadAheadCalls.Request request) {
            return MeshCallerHandler.this.dispatch(request.call(), request.route());
        }
    }

    /** Returns the time that the caller states, or the route's timeout if it states none or an invalid one. */
    private static long remainingMs(final String statedRemainingMs, final MeshRoute route) {
        if (statedRemainingMs == null
                || !REMAINING_MS_PATTERN.matcher(statedRemainingMs).matches()) {
            return route.timeoutMs();
        }
        return Long.parseLong(statedRemainingMs);
    }

    private List<HeaderField> forwardedHeaders(final HeaderMap headers, final CallerIdentification identification) {
        String organisationHeader = dependencies.headerNames().organisation();
        List<HeaderField> fields = new ArrayList<>();
        for (HeaderValues values : headers) {
            String name = values.getHeaderName().toString();
            if (!isSetByNode(name) && !identification.removesHeader(name, organisationHeader)) {
                values.forEach(value -> fields.add(new HeaderField(name, value)));
            }
        }
        List<HeaderField> forwarded = new ArrayList<>(HopByHopHeaders.remove(fields));
        forwarded.add(new HeaderField(
                dependencies.headerNames().callerService(),
                dependencies.service().get()));
        identification
                .organisation()
                .ifPresent(organisation -> forwarded.add(new HeaderField(organisationHeader, organisation.name())));
        return forwarded;
    }

    /** Returns whether the node sets this header itself, so that the caller's value is discarded. */
    private boolean isSetByNode(final String name) {
        return name.equalsIgnoreCase(dependencies.headerNames().callerService())
                || name.equalsIgnoreCase(dependencies.headerNames().remainingMs())
                || name.equalsIgnoreCase(dependencies.headerNames().expectedTarget());
    }

    private void sendResult(
            final HttpServerExchange exchange, final MeshCall call, final MeshRoute route, final CallResult ended) {
        if (exchange.isResponseStarted()) {
            return;
        }
        // The call that ran ahead may have run although it was discarded and another one was refused.
        CallResult result = ended.outcome() == Outcome.NOT_RUN && pipelinedRequests.mayHaveRun(exchange)
                ? CallResult.unknown(Reason.CANCELLED)
                : ended;
        closeAfterResponseIfDraining(exchange);
        if (result.response().isPresent()) {
            forward(exchange, result.response().get());
            dependencies.log().log(
                    LogKind.ANSWERED,
                    "request",
                    call.requestId(),
                    "route",
                    route.name(),
                    "status",
                    result.response().get().status(),
                    "afterMs",
                    dependencies.clock().nowMs() - call.arrivedMs());
        } else if (result.outcome() == Outcome.NOT_RUN) {
            refuse(exchange, call.requestId(), route, call.arrivedMs(), result);
        } else {
            boolean timedOut = result.reason() == Reason.DEADLINE || result.reason() == Reason.UNRESPONSIVE;
            int status = timedOut ? StatusCodes.GATEWAY_TIME_OUT : StatusCodes.BAD_GATEWAY;
            dependencies.log().log(
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
                    dependencies.clock().nowMs() - call.arrivedMs());
            refuse(exchange, status, result.reason().text());
        }
    }

    private static void forward(final HttpServerExchange exchange, final CallResponse answer) {
        exchange.setStatusCode(answer.status());
        HeaderMap headers = exchange.getResponseHeaders();
        answer.headers().forEach(field -> headers.add(new HttpString(field.name()), field.value()));
        exchange.getResponseSender().send(ByteBuffer.wrap(answer.body().bytes()));
    }

    private void refuseUnmatched(final HttpServerExchange exchange, final String requestId, final Reason reason) {
        dependencies.log().log(
                LogKind.REFUSED,
                "request",
                requestId,
                "reason",
                reason.text(),
                "host",
                String.valueOf(exchange.getRequestHeaders().getFirst(Headers.HOST)));
        dependencies.metrics().countUnmatched(reason);
        refuse(exchange, reason.status(), reason.text());
    }

    private void refuseUnidentified(final HttpServerExchange exchange, final String requestId, final MeshRoute route) {
        dependencies.log().log(
                LogKind.REFUSED, "request", requestId, "route", route.name(), "reason", Reason.UNKNOWN_KEY.text());
        dependencies.metrics().countUnmatched(Reason.UNKNOWN_KEY);
        exchange.getResponseHeaders().put(Headers.WWW_AUTHENTICATE, "Bearer");
        refuse(exchange, Reason.UNKNOWN_KEY.status(), Reason.UNKNOWN_KEY.text());
    }

    /** Refuses a request that has not run and never will; the Retry-After header states when to retry. */
    private void refuse(
            final HttpServerExchange exchange,
            final String requestId,
            final MeshRoute route,
            final long arrivedMs,
            final CallResult result) {
        long nowMs = dependencies.clock().nowMs();
        String statedRemainingMs =
                exchange.getRequestHeaders().getFirst(dependencies.headerNames().remainingMs());
        long remainingMs = remainingMs(statedRemainingMs, route) - (nowMs - arrivedMs);
        boolean overQuota = result.reason() == Reason.QUOTA_EXCEEDED;
        long delayMs = overQuota
                ? dependencies.retryAfterPolicy().quotaDelayMs(result.expectedWaitMs(), remainingMs)
                : dependencies.retryAfterPolicy().delayMs(result.expectedWaitMs(), remainingMs);
        dependencies.log().log(
                LogKind.REFUSED,
                "request",
                requestId,
                "route",
                route.name(),
                "reason",
                result.reason().text(),
                "expectedWaitMs",
                result.expectedWaitMs(),
                "retryAfterMs",
                delayMs,
                "afterMs",
                nowMs - arrivedMs);
        exchange.getResponseHeaders().put(Headers.RETRY_AFTER, Double.toString(delayMs / MS_PER_SECOND));
        int status = overQuota ? Reason.QUOTA_EXCEEDED.status() : StatusCodes.SERVICE_UNAVAILABLE;
        refuse(exchange, status, result.reason().text());
    }

    private static void refuse(final HttpServerExchange exchange, final int status, final String text) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain; charset=utf-8");
        exchange.getResponseSender().send(text + "\n");
    }

    /**
     * Collaborators of the handler. Immutable; as thread-safe as its components.
     *
     * @param clock the time source.
     * @param headerNames the names of the headers that callers send.
     * @param dispatcher places requests on targets and returns their results.
     * @param retryAfterPolicy computes the Retry-After delay of refused requests.
     * @param quota limits the requests of organisations.
     * @param limits supplies the caller limits of the active configuration.
     * @param service supplies the name of this VM's service.
     * @param draining true once the node is shutting down.
     * @param refusingRequests true once the shutdown is so near that new requests are refused.
     * @param metrics counts requests by result.
     * @param log the log of decisions.
     */
    record Dependencies(
            Clock clock,
            MeshHeaders headerNames,
            MeshDispatcher dispatcher,
            RetryAfterPolicy retryAfterPolicy,
            MeshQuota quota,
            Supplier<CallerLimits> limits,
            Supplier<String> service,
            BooleanSupplier draining,
            BooleanSupplier refusingRequests,
            MeshMetrics metrics,
            DecisionLog log) {}
}
