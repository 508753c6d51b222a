package org.sequoiashunt.node;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.StatusCodes;
import java.nio.ByteBuffer;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.call.CallResult;

/**
 * Writes the ends of calls to callers. Not instantiable; thread-safe.
 */
final class CallResponseWriter {

    private static final HttpString OUTCOME = new HttpString(CallHeaders.OUTCOME);
    private static final String RETRY_AFTER_SECONDS = "1";
    private static final String TEXT = "text/plain; charset=utf-8";

    private CallResponseWriter() {}

    /** Writes the target's answer, or the refusal that stands in for it. */
    static void answer(final HttpServerExchange exchange, final CallResult result) {
        if (exchange.isResponseStarted()) {
            return;
        }
        if (result.response().isPresent()) {
            pass(exchange, result.response().get());
        } else {
            refuse(exchange, result);
        }
    }

    private static void pass(final HttpServerExchange exchange, final CallResponse answer) {
        exchange.setStatusCode(answer.status());
        HeaderMap headers = exchange.getResponseHeaders();
        answer.headers().forEach(field -> headers.add(new HttpString(field.name()), field.value()));
        exchange.getResponseSender().send(ByteBuffer.wrap(answer.body().bytes()));
    }

    /** Tells a caller that no target answered, and whether one may have run the call. */
    static void refuse(final HttpServerExchange exchange, final CallResult result) {
        exchange.setStatusCode(result.reason().status());
        HeaderMap headers = exchange.getResponseHeaders();
        headers.put(OUTCOME, result.outcome().headerValue());
        headers.put(Headers.CONTENT_TYPE, TEXT);
        if (result.reason().isTransient()) {
            headers.put(Headers.RETRY_AFTER, RETRY_AFTER_SECONDS);
        }
        exchange.getResponseSender()
                .send(result.outcome().headerValue() + ": " + result.reason().text() + "\n");
    }

    /** Tells a caller that its request is malformed. Nothing was run. */
    static void reject(final HttpServerExchange exchange, final String problem) {
        exchange.setStatusCode(StatusCodes.BAD_REQUEST);
        exchange.getResponseHeaders().put(OUTCOME, "not-run");
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, TEXT);
        exchange.getResponseSender().send("not-run: " + problem + "\n");
    }
}
