package org.sequoiashunt.http;

import io.undertow.client.ClientRequest;
import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.xnio.XnioWorker;

/**
 * One HTTP request on a new connection, with a timeout and a maximum size of the response.
 *
 * <p>The connection is not reused: calls to the store are few, and the peer of an idle connection may never answer
 * again. Create an instance and call {@link #run} once. The calling thread waits; all I/O runs on one thread of the
 * worker. Invariant: a response is returned only if it begins after the whole request was written, is complete and well
 * formed, and nothing follows it with its last bytes.
 */
public final class HttpCall {

    private final ClientRequest request;
    private final byte[] body;
    private final ResponseRules rules;
    private final CompletableFuture<HttpResponse> response = new CompletableFuture<>();
    private volatile boolean sent;

    /**
     * Creates a call.
     *
     * @param request the request line and headers, not null; they state the length of a body that is not empty.
     * @param body the body, not null.
     * @param rules what the response must comply with, not null.
     */
    public HttpCall(final ClientRequest request, final byte[] body, final ResponseRules rules) {
        this.request = request;
        this.body = body;
        this.rules = rules;
    }

    /**
     * Sends the request and waits for the complete response. The connection is closed when the call ends.
     *
     * @param server the scheme, IP address and port of the server, not null.
     * @param worker the worker whose threads run the connection, not null.
     * @param buffers the pool of buffers for the connection, not null.
     * @param timeoutMs the longest time for the whole call, in milliseconds.
     * @return the response, never null.
     * @throws InvalidResponseException if the server sends bytes that are not one response to the request.
     * @throws IllegalArgumentException if the request line or a header contains a control character.
     * @throws IOException if no complete response arrives in time; {@link #wasSent()} then tells whether the server may
     *     have received the request.
     */
    public HttpResponse run(
            final URI server, final XnioWorker worker, final ByteBufferPool buffers, final long timeoutMs)
            throws IOException {
        return run(server, worker, buffers, timeoutMs, received -> received);
    }

    /**
     * Sends the request, waits for the complete response and decodes it. Until it is decoded, it counts for the memory
     * that all responses share.
     *
     * @param <T> the type of the result.
     * @param server the scheme, IP address and port of the server, not null.
     * @param worker the worker whose threads run the connection, not null.
     * @param buffers the pool of buffers for the connection, not null.
     * @param timeoutMs the longest time until the response is complete, in milliseconds.
     * @param decoder decodes the response on the calling thread, not null.
     * @return the result of the decoder.
     * @throws InvalidResponseException if the server sends bytes that are not one response to the request.
     * @throws IOException if no complete response arrives in time, or from the decoder.
     */
    public <T> T run(
            final URI server,
            final XnioWorker worker,
            final ByteBufferPool buffers,
            final long timeoutMs,
            final ResponseDecoder<T> decoder)
            throws IOException {
        Queue<ByteBuffer> encoded = RequestEncoder.encode(request, body);
        InetSocketAddress address = new InetSocketAddress(server.getHost(), server.getPort());
        CompletableFuture<HttpConnection> opening = new CompletableFuture<>();
        try (ResponseParser parser = new ResponseParser(request.getMethod().toString(), rules, this::giveUp)) {
            opening.whenComplete((connection, failure) -> {
                if (failure == null) {
                    send(connection, encoded, parser);
                } else {
                    response.completeExceptionally(failure);
                }
            });
            HttpConnection.open(address, worker, buffers, opening);
            return decoder.decode(response.get(timeoutMs, TimeUnit.MILLISECONDS));
        } catch (TimeoutException exception) {
            throw new IOException("no response within " + timeoutMs + " ms", exception);
        } catch (ExecutionException exception) {
            if (exception.getCause() instanceof InvalidResponseException invalid) {
                throw invalid;
            }
            throw new IOException(describe(exception.getCause()), exception.getCause());
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while waiting for the response", exception);
        } finally {
            response.cancel(false);
            if (!opening.cancel(false)) {
                opening.thenAccept(HttpConnection::close);
            }
        }
    }

    /**
     * Tells whether the server may have received the request.
     *
     * @return true if a connection was established and the request was handed to it.
     */
    public boolean wasSent() {
        return sent;
    }

    private static String describe(final Throwable cause) {
        return cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.getMessage();
    }

    private void giveUp() {
        response.completeExceptionally(
                new ResponseTooLargeException("the response is given up to limit the memory of all responses"));
    }

    private void send(final HttpConnection connection, final Queue<ByteBuffer> encoded, final ResponseParser parser) {
        if (response.isDone()) {
            connection.close();
        } else if (connection.isClean()) {
            sent = true;
            connection.send(encoded, parser, new ResponseListener());
        } else {
            response.completeExceptionally(new InvalidResponseException("bytes arrived before the request was sent"));
        }
    }

    /**
     * Decodes a response.
     *
     * @param <T> the type of the result.
     */
    @FunctionalInterface
    public interface ResponseDecoder<T> {

        /**
         * Decodes a response.
         *
         * @param response the complete response, not null.
         * @return the result.
         * @throws IOException if the response cannot be decoded.
         */
        T decode(HttpResponse response) throws IOException;
    }

    /** Ends the call with the response. Thread-safe. */
    private final class ResponseListener implements HttpConnection.Listener {

        @Override
        public void completed(final ResponseParser parser, final boolean followed) {
            if (followed) {
                failed(new InvalidResponseException("bytes follow the response"));
            } else if (parser.retainMemory()) {
                response.complete(HttpResponse.of(parser));
            }
        }

        @Override
        public void failed(final IOException reason) {
            response.completeExceptionally(reason);
        }
    }
}
