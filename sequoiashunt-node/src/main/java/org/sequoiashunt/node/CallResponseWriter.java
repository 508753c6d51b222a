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
 * Writes the results of calls to callers. Not instantiable; thread-safe.
 */
final class CallResponseWriter {

    private static final HttpString OUTCOME_HEADER = new HttpString(CallHeaders.OUTCOME);
    private static final String RETRY_AFTER_SECONDS = "1";
    private static final String TEXT_CONTENT_TYPE = "text/plain; charset=utf-8";

    private CallResponseWriter() {}

    /** Writes the target's response, or a refusal if there is none. */
    static void writeResult(final HttpServerExchange exchange, final CallResult result) {
        if (exchange.isResponseStarted()) {
            return;
        }
        if (result.response().isPresent()) {
            writeResponse(exchange, result.response().get());
        } else {
            writeRefusal(exchange, result);
        }
    }

    private static void writeResponse(final HttpServerExchange exchange, final CallResponse response) {
        exchange.setStatusCode(response.status());
        HeaderMap headers = exchange.getResponseHeaders();
        response.headers().forEach(field -> headers.add(new HttpString(field.name()), field.value()));
        exchange.getResponseSender().send(ByteBuffer.wrap(response.body().bytes()));
    }

    /** Writes that no target responded, and whether a target may have run the call. */
    static void writeRefusal(final HttpServerExchange exchange, final CallResult result) {
        exchange.setStatusCode(result.reason().status());
        HeaderMap headers = exchange.getResponseHeaders();
        headers.put(OUTCOME_HEADER, result.outcome().headerValue());
        headers.put(Headers.CONTENT_TYPE, TEXT_CONTENT_TYPE);
        if (result.reason().isTransient()) {
            headers.put(Headers.RETRY_AFTER, RETRY_AFTER_SECONDS);
        }
        exchange.getResponseSender()
                .send(result.outcome().headerValue() + ": " + result.reason().text() + "\n");
    }

    /** Writes that the request is malformed and was not run. */
    static void writeBadRequest(final HttpServerExchange exchange, final String problem) {
        exchange.setStatusCode(StatusCodes.BAD_REQUEST);
        exchange.getResponseHeaders().put(OUTCOME_HEADER, "not-run");
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, TEXT_CONTENT_TYPE);
        exchange.getResponseSender().send("not-run: " + problem + "\n");
    }
}
