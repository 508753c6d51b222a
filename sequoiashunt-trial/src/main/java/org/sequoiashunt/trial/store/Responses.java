package org.sequoiashunt.trial.store;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.nio.ByteBuffer;
import java.util.Deque;
import java.util.Optional;
import org.sequoiashunt.commit.JsonCodec;
import org.sequoiashunt.commit.StoreProtocol;
import org.sequoiashunt.store.StoreException;
import org.sequoiashunt.store.StoredValue;
import org.xnio.IoUtils;

/**
 * Reads parameters and sends answers of the store's HTTP protocol. Not instantiable; thread-safe.
 */
final class Responses {

    private Responses() {}

    static void sendValue(final HttpServerExchange exchange, final StoredValue value) {
        exchange.getResponseHeaders().put(StoreProtocol.REVISION, value.revision());
        exchange.getResponseSender().send(ByteBuffer.wrap(value.bytes()));
    }

    static void sendDocument(final HttpServerExchange exchange, final Object document) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(ByteBuffer.wrap(JsonCodec.write(document)));
    }

    static void sendStatus(final HttpServerExchange exchange, final int status) {
        exchange.setStatusCode(status).endExchange();
    }

    static void sendBadRequest(final HttpServerExchange exchange, final String reason) {
        exchange.setStatusCode(StatusCodes.BAD_REQUEST);
        exchange.getResponseSender().send(reason);
    }

    /** Answers a failed call: closes the connection if the call may have taken effect, else sends status 503. */
    static void sendFailure(final HttpServerExchange exchange, final StoreException exception) {
        if (exception.mayHaveTakenEffect()) {
            IoUtils.safeClose(exchange.getConnection());
        } else {
            sendStatus(exchange, StatusCodes.SERVICE_UNAVAILABLE);
        }
    }

    static Optional<String> parameter(final HttpServerExchange exchange, final String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null ? Optional.empty() : Optional.of(values.getFirst());
    }

    /** Reads a query parameter as a non-negative number; empty if it is missing, malformed or negative. */
    static Optional<Long> numberParameter(final HttpServerExchange exchange, final String name) {
        return parameter(exchange, name).flatMap(Responses::parseNumber);
    }

    static Optional<Long> parseNumber(final String text) {
        try {
            return Optional.of(Long.parseLong(text)).filter(number -> number >= 0);
        } catch (NumberFormatException exception) {
            return Optional.empty();
        }
    }

    /** Returns the part of the path after the handler's prefix, without the leading slash. */
    static String pathSuffix(final HttpServerExchange exchange) {
        String path = exchange.getRelativePath();
        return path.startsWith("/") ? path.substring(1) : path;
    }
}
