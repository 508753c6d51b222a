package org.sequoiashunt.node;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import java.io.IOException;
import org.sequoiashunt.peer.NodeAddress;

/**
 * HTTP server on one address, with limits for headers and idle connections. Thread-safe.
 */
final class HttpListener implements AutoCloseable {

    private static final int IO_THREADS = 2;
    private static final int WORKER_THREADS = 1;
    private static final int BUFFER_BYTES = 4_096;
    private static final int MAXIMUM_HEADER_BYTES = 16_384;
    private static final int MAXIMUM_HEADERS = 100;
    private static final int PARSE_TIMEOUT_MS = 10_000;

    /** Longer than the longest timeout of a route, since a connection that waits for its response is idle too. */
    private static final int IDLE_TIMEOUT_MS = 75_000;

    private final Undertow server;

    private HttpListener(final Undertow server) {
        this.server = server;
    }

    static HttpListener open(final String name, final NodeAddress address, final HttpHandler handler)
            throws IOException {
        Undertow server = Undertow.builder()
                .addHttpListener(address.port(), address.host())
                .setIoThreads(IO_THREADS)
                .setWorkerThreads(WORKER_THREADS)
                .setBufferSize(BUFFER_BYTES)
                .setDirectBuffers(true)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAXIMUM_HEADER_BYTES)
                .setServerOption(UndertowOptions.MAX_HEADERS, MAXIMUM_HEADERS)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, PARSE_TIMEOUT_MS)
                .setServerOption(UndertowOptions.IDLE_TIMEOUT, IDLE_TIMEOUT_MS)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MS)
                .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .setHandler(handler)
                .build();
        try {
            server.start();
            return new HttpListener(server);
        } catch (RuntimeException exception) {
            throw new IOException(name + ": cannot listen on " + address + ": " + causeMessage(exception), exception);
        }
    }

    private static String causeMessage(final RuntimeException exception) {
        Throwable cause = exception.getCause() == null ? exception : exception.getCause();
        return cause.getMessage();
    }

    @Override
    public void close() {
        server.stop();
    }
}
