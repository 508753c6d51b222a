package org.sequoiashunt.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.HeaderField;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.call.TargetCaller;
import org.sequoiashunt.execution.CrashTracker;
import org.sequoiashunt.http.HttpException;
import org.sequoiashunt.http.HttpRequest;
import org.sequoiashunt.http.PooledHttpClient;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.time.Clock;

/**
 * Sends calls to the targets of this VM over HTTP.
 *
 * <p>Immutable and thread-safe.
 */
public final class UndertowTargetCaller implements TargetCaller {

    private final PooledHttpClient httpClient;
    private final Clock clock;

    /**
     * Creates a caller.
     *
     * @param httpClient sends the requests, not null.
     * @param clock the clock, not null.
     */
    public UndertowTargetCaller(final PooledHttpClient httpClient, final Clock clock) {
        this.httpClient = Objects.requireNonNull(httpClient, "httpClient");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    @Override
    public CompletableFuture<CallResult> call(final NodeAddress target, final CallRequest request) {
        long remainingMs = request.deadlineMs() - clock.nowMs();
        HttpRequest httpRequest = new HttpRequest(
                request.method(),
                request.uri(),
                headersForTarget(request, remainingMs),
                request.body(),
                request.idempotent());
        CompletableFuture<CallResponse> response = httpClient.send(target, httpRequest, remainingMs);
        CompletableFuture<CallResult> result = new CompletableFuture<>();
        response.whenComplete((answer, failure) ->
                result.complete(failure == null ? resultOfResponse(answer) : resultOfFailure(failure)));
        result.whenComplete((ended, failure) -> {
            if (result.isCancelled()) {
                response.cancel(true);
            }
        });
        return result;
    }

    private static List<HeaderField> headersForTarget(final CallRequest request, final long remainingMs) {
        List<HeaderField> headers = new ArrayList<>(request.headers());
        headers.removeIf(field -> field.name().equalsIgnoreCase(CrashTracker.SUSPECT_HEADER));
        headers.add(new HeaderField(CallHeaders.TIMEOUT_MS, Long.toString(remainingMs)));
        return headers;
    }

    private static CallResult resultOfResponse(final CallResponse response) {
        boolean shed = response.headers().stream()
                .anyMatch(field -> field.name().equalsIgnoreCase(CallHeaders.SHED)
                        && field.value().equals("true"));
        return shed ? CallResult.notRun(Reason.SHED) : CallResult.complete(response);
    }

    private static CallResult resultOfFailure(final Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (!(cause instanceof HttpException exception)) {
            return CallResult.unknown(Reason.CANCELLED);
        }
        return switch (exception.kind()) {
            case NOT_SENT -> CallResult.notRun(Reason.CONNECTION_FAILED);
            case CONNECTION_LOST -> CallResult.unknown(Reason.CONNECTION_FAILED);
            case MALFORMED -> CallResult.unknown(Reason.BAD_ANSWER);
            case TOO_LARGE -> CallResult.unknown(Reason.BAD_ANSWER);
            case TIMEOUT -> CallResult.unknown(Reason.DEADLINE);
        };
    }
}
