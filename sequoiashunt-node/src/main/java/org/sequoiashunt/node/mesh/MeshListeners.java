package org.sequoiashunt.node.mesh;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.handlers.HttpContinueReadHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;

/**
 * HTTP server that listens on all HTTP addresses of a node and runs on one I/O thread. Thread-safe.
 */
final class MeshListeners implements AutoCloseable {

    private static final int IO_THREADS = 1;
    private static final int WORKER_THREADS = 1;
    private static final int BUFFER_BYTES = 8_192;

    /** Higher than the limit that operators set for headers. */
    private static final int MAXIMUM_HEADER_BYTES = 65_536;

    private static final int MAXIMUM_HEADERS = 200;
    private static final int PARSE_TIMEOUT_MS = 10_000;

    /** Longer than the idle time that operators allow, so that no caller sends a request on a closed connection. */
    private static final int IDLE_TIMEOUT_MS = 75_000;

    private static final int BACKLOG_CONNECTIONS = 1_024;

    private final Undertow server;

    private MeshListeners(final Undertow server) {
        this.server = server;
    }

    /**
     * Starts the server.
     *
     * @param handlers the handler of each address to listen on, not null.
     * @return the running server, never null.
     * @throws IOException if an address cannot be bound.
     */
    static MeshListeners open(final Map<InetSocketAddress, HttpHandler> handlers) throws IOException {
        Undertow.Builder builder = Undertow.builder()
                .setIoThreads(IO_THREADS)
                .setWorkerThreads(WORKER_THREADS)
                .setBufferSize(BUFFER_BYTES)
                .setDirectBuffers(true)
                .setSocketOption(org.xnio.Options.BACKLOG, BACKLOG_CONNECTIONS)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAXIMUM_HEADER_BYTES)
                .setServerOption(UndertowOptions.MAX_HEADERS, MAXIMUM_HEADERS)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, PARSE_TIMEOUT_MS)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MS)
                .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .setServerOption(UndertowOptions.DECODE_URL, false);
        handlers.forEach((address, handler) -> builder.addListener(new Undertow.ListenerBuilder()
                .setType(Undertow.ListenerType.HTTP)
                .setHost(address.getAddress().getHostAddress())
                .setPort(address.getPort())
                .setRootHandler(new HttpContinueReadHandler(handler))));
        Undertow server = builder.build();
        try {
            server.start();
            return new MeshListeners(server);
        } catch (RuntimeException exception) {
            Throwable cause = exception.getCause() == null ? exception : exception.getCause();
            throw new IOException("cannot listen on " + handlers.keySet() + ": " + cause.getMessage(), exception);
        }
    }

    @Override
    public void close() {
        server.stop();
    }
}
