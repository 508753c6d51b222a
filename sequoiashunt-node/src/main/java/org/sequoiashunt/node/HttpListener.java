package org.sequoiashunt.node;

import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.sequoiashunt.peer.NodeAddress;
import org.xnio.OptionMap;

/**
 * HTTP server on one address, with limits for headers and idle connections.
 *
 * <p>After {@link #stopAccepting()} it goes on answering requests on the connections that it has accepted, and closes
 * each after its response, until {@link #close()} ends those that are left. Thread-safe.
 */
final class HttpListener implements AutoCloseable {

    private static final int IO_THREADS = 2;
    private static final int BUFFER_BYTES = 4_096;
    private static final int MAXIMUM_HEADER_BYTES = 16_384;
    private static final int MAXIMUM_HEADERS = 100;
    private static final int PARSE_TIMEOUT_MS = 10_000;

    /** Longer than the longest timeout of a route, since a connection that waits for its response is idle too. */
    private static final int IDLE_TIMEOUT_MS = 75_000;

    /** Time for requests that callers have sent, on connections accepted before the stop, to arrive and be answered. */
    private static final long LINGER_MS = 1_000;

    private static final OptionMap OPTIONS = OptionMap.builder()
            .set(UndertowOptions.MAX_HEADER_SIZE, MAXIMUM_HEADER_BYTES)
            .set(UndertowOptions.MAX_HEADERS, MAXIMUM_HEADERS)
            .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, PARSE_TIMEOUT_MS)
            .set(UndertowOptions.IDLE_TIMEOUT, IDLE_TIMEOUT_MS)
            .set(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MS)
            .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
            .set(UndertowOptions.BUFFER_PIPELINED_DATA, true)
            .getMap();

    private final HttpServer server;
    private final long lingerMs;
    private volatile boolean stopping;
    private long lingerEndNanos;

    private HttpListener(final HttpServer server, final long lingerMs) {
        this.server = server;
        this.lingerMs = lingerMs;
    }

    static HttpListener open(final String name, final NodeAddress address, final HttpHandler handler)
            throws IOException {
        return open(name, address, handler, LINGER_MS);
    }

    /**
     * Listens on an address.
     *
     * @param name the name of the address in messages, not null.
     * @param address the IP number and port, not null.
     * @param handler handles the requests, not null.
     * @param lingerMs the longest time for which accepted connections are kept open after the stop, in milliseconds.
     * @return the listener, never null.
     * @throws IOException if the address cannot be bound; nothing is left open.
     */
    static HttpListener open(
            final String name, final NodeAddress address, final HttpHandler handler, final long lingerMs)
            throws IOException {
        HttpServer server = HttpServer.start(name, IO_THREADS, BUFFER_BYTES);
        HttpListener listener = new HttpListener(server, lingerMs);
        try {
            server.listen(
                    new InetSocketAddress(address.host(), address.port()),
                    OPTIONS,
                    listener.closingAfterResponse(handler),
                    UnaryOperator.identity());
            return listener;
        } catch (IOException exception) {
            server.close();
            throw new IOException(name + ": cannot listen on " + address + ": " + exception.getMessage(), exception);
        }
    }

    private HttpHandler closingAfterResponse(final HttpHandler handler) {
        return exchange -> {
            if (stopping) {
                exchange.setPersistent(false);
            }
            handler.handleRequest(exchange);
        };
    }

    /** Accepts no more connections, and starts the time after which {@link #close()} ends those that are open. */
    synchronized void stopAccepting() {
        if (!stopping) {
            stopping = true;
            lingerEndNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(lingerMs);
            server.stopAccepting();
        }
    }

    /** Stops accepting, waits until all connections are closed or the linger time is over, and ends the server. */
    @Override
    public void close() {
        stopAccepting();
        try {
            server.awaitConnectionsClosed(TimeUnit.NANOSECONDS.toMillis(lingerEndNanos - System.nanoTime()));
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
        server.close();
    }
}
