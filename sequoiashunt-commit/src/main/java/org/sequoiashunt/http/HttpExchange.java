package org.sequoiashunt.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.call.HeaderField;
import org.sequoiashunt.peer.NodeAddress;
import org.xnio.IoUtils;

/**
 * One request and its response on one connection.
 *
 * <p>Thread-safe: input and output run on the connection's thread; any thread may end the exchange, and only the
 * first end counts. Invariants: the connection is released exactly once; it is reused only after a complete response.
 */
final class HttpExchange {

    private final HttpRequest request;
    private final CompletableFuture<CallResponse> result;
    private final int maximumResponseBytes;
    private volatile boolean sent;

    HttpExchange(
            final HttpRequest request, final CompletableFuture<CallResponse> result, final int maximumResponseBytes) {
        this.request = request;
        this.result = result;
        this.maximumResponseBytes = maximumResponseBytes;
    }

    void start(final ClientConnection connection, final NodeAddress address, final Consumer<Boolean> release) {
        if (result.isDone()) {
            release.accept(true);
            return;
        }
        sent = true;
        result.whenComplete((response, failure) -> {
            if (failure != null) {
                connection.getIoThread().execute(() -> IoUtils.safeClose(connection));
            }
        });
        connection.sendRequest(clientRequest(address), new RequestCallback(release));
    }

    private ClientRequest clientRequest(final NodeAddress address) {
        ClientRequest clientRequest =
                new ClientRequest().setMethod(new HttpString(request.method())).setPath(request.uri());
        HeaderMap headers = clientRequest.getRequestHeaders();
        request.headers().forEach(field -> headers.add(new HttpString(field.name()), field.value()));
        if (!headers.contains(Headers.HOST)) {
            headers.put(Headers.HOST, address.toString());
        }
        headers.put(Headers.CONTENT_LENGTH, request.body().length());
        return clientRequest;
    }

    void endWithTimeout() {
        HttpException.Kind kind = sent ? HttpException.Kind.TIMEOUT : HttpException.Kind.NOT_SENT;
        fail(kind, "no response within the timeout", null);
    }

    void fail(final HttpException.Kind kind, final String message, final Throwable cause) {
        result.completeExceptionally(new HttpException(kind, message, cause));
    }

    private void endWithLostConnection(final IOException failure) {
        fail(HttpException.Kind.CONNECTION_LOST, "the connection ended before the complete response arrived", failure);
    }

    private void handleResponse(final ClientExchange exchange, final Consumer<Boolean> release) {
        ClientResponse response = exchange.getResponse();
        if (!hasDefinedBodyEnd(response)) {
            fail(
                    HttpException.Kind.MALFORMED,
                    "the response has neither a Content-Length nor a Transfer-Encoding header",
                    null);
            return;
        }
        new BodyReader(maximumResponseBytes, exchange.getConnection().getBufferPool())
                .read(exchange.getResponseChannel())
                .whenComplete((body, failure) -> {
                    if (failure == null) {
                        complete(response, body, release);
                    } else {
                        endWithReadFailure(failure);
                    }
                });
    }

    private void complete(final ClientResponse response, final Body body, final Consumer<Boolean> release) {
        boolean reusable =
                !"close".equalsIgnoreCase(response.getResponseHeaders().getFirst(Headers.CONNECTION));
        boolean completedHere =
                result.complete(new CallResponse(response.getResponseCode(), headersOf(response), body));
        release.accept(completedHere && reusable);
    }

    private void endWithReadFailure(final Throwable failure) {
        if (failure instanceof BodyReader.BodyTooLargeException) {
            fail(HttpException.Kind.TOO_LARGE, "the response exceeds " + maximumResponseBytes + " bytes", failure);
        } else {
            endWithLostConnection(new IOException(failure));
        }
    }

    private boolean hasDefinedBodyEnd(final ClientResponse response) {
        HeaderMap headers = response.getResponseHeaders();
        int status = response.getResponseCode();
        return headers.contains(Headers.CONTENT_LENGTH)
                || headers.contains(Headers.TRANSFER_ENCODING)
                || status == StatusCodes.NO_CONTENT
                || status == StatusCodes.NOT_MODIFIED
                || Methods.HEAD_STRING.equals(request.method());
    }

    private static List<HeaderField> headersOf(final ClientResponse response) {
        List<HeaderField> fields = new ArrayList<>();
        for (HeaderValues values : response.getResponseHeaders()) {
            String name = values.getHeaderName().toString();
            values.forEach(value -> fields.add(new HeaderField(name, value)));
        }
        return HopByHopHeaders.remove(fields);
    }

    /** Writes the body of the request and registers for the response. */
    private final class RequestCallback implements ClientCallback<ClientExchange> {

        private final Consumer<Boolean> release;

        private RequestCallback(final Consumer<Boolean> release) {
            this.release = release;
        }

        @Override
        public void completed(final ClientExchange exchange) {
            exchange.setResponseListener(new ResponseCallback(release));
            BodyWriter.write(request.body(), exchange.getRequestChannel(), HttpExchange.this::endWithLostConnection);
        }

        @Override
        public void failed(final IOException failure) {
            endWithLostConnection(failure);
        }
    }

    /** Reads the response. */
    private final class ResponseCallback implements ClientCallback<ClientExchange> {

        private final Consumer<Boolean> release;

        private ResponseCallback(final Consumer<Boolean> release) {
            this.release = release;
        }

        @Override
        public void completed(final ClientExchange exchange) {
            handleResponse(exchange, release);
        }

        @Override
        public void failed(final IOException failure) {
            endWithLostConnection(failure);
        }
    }
}
