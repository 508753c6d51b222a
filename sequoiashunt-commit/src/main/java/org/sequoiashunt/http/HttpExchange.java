package org.sequoiashunt.http;

import io.undertow.client.ClientRequest;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.peer.NodeAddress;

/**
 * One request and its response on one connection.
 *
 * <p>Thread-safe: input and output run on the connection's thread; any thread may end the exchange, and only the
 * first end counts. Invariants: the connection is released at most once, and only after a complete response that
 * nothing followed; otherwise it is closed.
 */
final class HttpExchange {

    private final HttpRequest request;
    private final CompletableFuture<CallResponse> result;
    private final ResponseRules rules;
    private volatile boolean sent;

    HttpExchange(final HttpRequest request, final CompletableFuture<CallResponse> result, final ResponseRules rules) {
        this.request = request;
        this.result = result;
        this.rules = rules;
    }

    /**
     * Sends the request. Runs on the connection's thread.
     *
     * @param connection a clean connection, not null.
     * @param address the address of the peer, not null.
     * @param release receives whether the connection can be reused, not null.
     */
    void start(final HttpConnection connection, final NodeAddress address, final Consumer<Boolean> release) {
        if (result.isDone()) {
            release.accept(true);
            return;
        }
        Queue<ByteBuffer> encoded;
        try {
            encoded =
                    RequestEncoder.encode(clientRequest(address), request.body().bytes());
        } catch (IllegalArgumentException exception) {
            fail(HttpException.Kind.NOT_SENT, exception.getMessage(), exception);
            release.accept(true);
            return;
        }
        ResponseParser parser = new ResponseParser(request.method(), rules, this::giveUp);
        sent = true;
        result.whenComplete((response, failure) -> {
            parser.close();
            if (failure != null) {
                connection.ioThread().execute(connection::close);
            }
        });
        connection.send(encoded, parser, new ResponseListener(release));
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

    private void giveUp() {
        fail(HttpException.Kind.TOO_LARGE, "the response is given up to limit the memory of all responses", null);
    }

    /** Ends the exchange with the response. Confined to the connection's thread. */
    private final class ResponseListener implements HttpConnection.Listener {

        private final Consumer<Boolean> release;

        private ResponseListener(final Consumer<Boolean> release) {
            this.release = release;
        }

        @Override
        public void completed(final ResponseParser response, final boolean followed) {
            boolean reusable = !followed && response.keepsConnectionOpen();
            boolean completedHere = result.complete(new CallResponse(
                    response.status(), HopByHopHeaders.remove(response.fields()), Body.of(response.takeBody())));
            release.accept(completedHere && reusable);
        }

        @Override
        public void failed(final IOException reason) {
            if (reason instanceof InvalidResponseException) {
                fail(HttpException.Kind.MALFORMED, reason.getMessage(), reason);
            } else if (reason instanceof ResponseTooLargeException) {
                fail(HttpException.Kind.TOO_LARGE, reason.getMessage(), reason);
            } else {
                fail(
                        HttpException.Kind.CONNECTION_LOST,
                        "the connection ended before the complete response arrived",
                        reason);
            }
        }
    }
}
