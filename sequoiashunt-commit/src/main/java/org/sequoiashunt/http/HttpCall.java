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
 * One HTTP request on a connection of its own, with a timeout and a bounded answer.
 *
 * <p>The connection is not kept: calls to the store are few, and a kept one may have gone silent for good. Create,
 * call {@link #run} once, and drop. The calling thread waits; all else happens on one thread of the worker.
 */
public final class HttpCall {

    private static final int READ_BUFFER_BYTES = 16_384;

    private final ClientRequest request;
    private final byte[] body;
    private final int maximumAnswerBytes;
    private final CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
    private volatile ClientConnection connection;
    private volatile boolean sent;

    /**
     * Creates a call.
     *
     * @param request the request line and headers, not null.
     * @param body the body, not null.
     * @param maximumAnswerBytes the largest body of an answer, in bytes.
     */
    public HttpCall(final ClientRequest request, final byte[] body, final int maximumAnswerBytes) {
        this.request = request;
        this.body = body;
        this.maximumAnswerBytes = maximumAnswerBytes;
    }

    /**
     * Sends the request and waits for the whole answer. The connection is closed in any case.
     *
     * @param server the scheme, IP number and port, not null.
     * @param worker runs the connection, not null.
     * @param buffers the buffers, not null.
     * @param timeoutMs the longest time for the whole call, in milliseconds.
     * @return the answer, never null.
     * @throws IOException if there is no whole answer in time; {@link #wasSent()} then tells whether the receiver may
     *     have seen the request.
     */
    public HttpResponse run(
            final URI server, final XnioWorker worker, final ByteBufferPool buffers, final long timeoutMs)
            throws IOException {
        UndertowClient.getInstance().connect(callback(this::send), server, worker, buffers, OptionMap.EMPTY);
        try {
            return answer.get(timeoutMs, TimeUnit.MILLISECONDS);
        } catch (TimeoutException exception) {
            throw new IOException("no response within " + timeoutMs + " ms", exception);
        } catch (ExecutionException exception) {
            throw new IOException(describe(exception.getCause()), exception.getCause());
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while waiting for the answer", exception);
        } finally {
            answer.cancel(false);
            IoUtils.safeClose(connection);
        }
    }

    /**
     * Tells whether the receiver may have seen the request.
     *
     * @return true if a connection stood.
     */
    public boolean wasSent() {
        return sent;
    }

    private static String describe(final Throwable cause) {
        return cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.getMessage();
    }

    private void send(final ClientConnection opened) {
        connection = opened;
        if (answer.isDone()) {
            IoUtils.safeClose(opened);
            return;
        }
        sent = true;
        opened.sendRequest(request, callback(this::sendBody));
    }

    private void sendBody(final ClientExchange exchange) {
        exchange.setResponseListener(callback(this::receive));
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

    private void receive(final ClientExchange exchange) {
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
                    answer.complete(HttpResponse.of(exchange.getResponse(), received.toByteArray()));
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
        if (received.size() + buffer.remaining() > maximumAnswerBytes) {
            throw new IOException("the answer exceeds " + maximumAnswerBytes + " bytes");
        }
        while (buffer.hasRemaining()) {
            int count = Math.min(chunk.length, buffer.remaining());
            buffer.get(chunk, 0, count);
            received.write(chunk, 0, count);
        }
    }

    private void fail(final Throwable cause) {
        answer.completeExceptionally(cause);
    }

    private <T> ClientCallback<T> callback(final Consumer<T> next) {
        return new ClientCallback<>() {
            @Override
            public void completed(final T result) {
                next.accept(result);
            }

            @Override
            public void failed(final IOException exception) {
                fail(exception);
            }
        };
    }
}
