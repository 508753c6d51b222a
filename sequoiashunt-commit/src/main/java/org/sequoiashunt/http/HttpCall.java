package org.sequoiashunt.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioWorker;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * One HTTP request on a new connection, with a timeout and a maximum size of the response.
 *
 * <p>The connection is not reused: calls to the store are few, and the peer of an idle connection may never answer
 * again. Create an instance and call {@link #run} once. The calling thread waits; all I/O runs on one thread of the
 * worker.
 */
public final class HttpCall {

    private static final int READ_BUFFER_BYTES = 16_384;

    private final ClientRequest request;
    private final byte[] body;
    private final int maximumResponseBytes;
    private final CompletableFuture<HttpResponse> response = new CompletableFuture<>();
    private volatile ClientConnection connection;
    private volatile boolean sent;

    /**
     * Creates a call.
     *
     * @param request the request line and headers, not null.
     * @param body the body, not null.
     * @param maximumResponseBytes the largest accepted body of the response, in bytes.
     */
    public HttpCall(final ClientRequest request, final byte[] body, final int maximumResponseBytes) {
        this.request = request;
        this.body = body;
        this.maximumResponseBytes = maximumResponseBytes;
    }

    /**
     * Sends the request and waits for the complete response. The connection is closed when the call ends.
     *
     * @param server the scheme, IP address and port of the server, not null.
     * @param worker the worker whose threads run the connection, not null.
     * @param buffers the pool of buffers for the connection, not null.
     * @param timeoutMs the longest time for the whole call, in milliseconds.
     * @return the response, never null.
     * @throws IOException if no complete response arrives in time; {@link #wasSent()} then tells whether the server may
     *     have received the request.
     */
    public HttpResponse run(
            final URI server, final XnioWorker worker, final ByteBufferPool buffers, final long timeoutMs)
            throws IOException {
        UndertowClient.getInstance().connect(callback(this::send), server, worker, buffers, OptionMap.EMPTY);
        try {
            return response.get(timeoutMs, TimeUnit.MILLISECONDS);
        } catch (TimeoutException exception) {
            throw new IOException("no response within " + timeoutMs + " ms", exception);
        } catch (ExecutionException exception) {
            throw new IOException(describe(exception.getCause()), exception.getCause());
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while waiting for the response", exception);
        } finally {
            response.cancel(false);
            IoUtils.safeClose(connection);
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

    private void send(final ClientConnection opened) {
        connection = opened;
        if (response.isDone()) {
            IoUtils.safeClose(opened);
            return;
        }
        sent = true;
        opened.sendRequest(request, callback(this::sendBody));
    }

    private void sendBody(final ClientExchange exchange) {
        exchange.setResponseListener(callback(this::receiveBody));
        ByteBuffer remaining = ByteBuffer.wrap(body);
        StreamSinkChannel sink = exchange.getRequestChannel();
        sink.getWriteSetter().set(channel -> writeBody(channel, remaining));
        writeBody(sink, remaining);
    }

    private void writeBody(final StreamSinkChannel sink, final ByteBuffer remaining) {
        try {
            while (remaining.hasRemaining()) {
                if (sink.write(remaining) == 0) {
                    sink.resumeWrites();
                    return;
                }
            }
            sink.shutdownWrites();
            if (!sink.flush()) {
                sink.getWriteSetter().set(ChannelListeners.flushingChannelListener(null, (channel, e) -> fail(e)));
                sink.resumeWrites();
            }
        } catch (IOException exception) {
            fail(exception);
        }
    }

    private void receiveBody(final ClientExchange exchange) {
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        StreamSourceChannel source = exchange.getResponseChannel();
        source.getReadSetter().set(channel -> readBody(exchange, channel, received));
        readBody(exchange, source, received);
    }

    private void readBody(
            final ClientExchange exchange, final StreamSourceChannel source, final ByteArrayOutputStream received) {
        byte[] chunk = new byte[READ_BUFFER_BYTES];
        try (PooledByteBuffer pooled = exchange.getConnection().getBufferPool().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            while (true) {
                buffer.clear();
                int count = source.read(buffer);
                if (count < 0) {
                    response.complete(HttpResponse.of(exchange.getResponse(), received.toByteArray()));
                    return;
                }
                if (count == 0) {
                    source.resumeReads();
                    return;
                }
                buffer.flip();
                append(buffer, chunk, received);
            }
        } catch (IOException exception) {
            fail(exception);
        }
    }

    private void append(final ByteBuffer buffer, final byte[] chunk, final ByteArrayOutputStream received)
            throws IOException {
        if (received.size() + buffer.remaining() > maximumResponseBytes) {
            throw new IOException("the response exceeds " + maximumResponseBytes + " bytes");
        }
        while (buffer.hasRemaining()) {
            int count = Math.min(chunk.length, buffer.remaining());
            buffer.get(chunk, 0, count);
            received.write(chunk, 0, count);
        }
    }

    private void fail(final Throwable cause) {
        response.completeExceptionally(cause);
    }

    private <T> ClientCallback<T> callback(final Consumer<T> onCompleted) {
        return new ClientCallback<>() {
            @Override
            public void completed(final T result) {
                onCompleted.accept(result);
            }

            @Override
            public void failed(final IOException exception) {
                fail(exception);
            }
        };
    }
}
