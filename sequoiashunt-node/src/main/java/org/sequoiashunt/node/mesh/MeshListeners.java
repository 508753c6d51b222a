package org.sequoiashunt.node.mesh;

import io.undertow.UndertowOptions;
import io.undertow.server.handlers.HttpContinueReadHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.sequoiashunt.node.HttpServer;
import org.xnio.OptionMap;

/**
 * HTTP server that listens on all HTTP addresses of a node, each with an I/O thread of its own, so that no input at one
 * address delays the others.
 *
 * <p>When it is closed, it goes on answering requests on the connections that it has accepted, until they are closed or
 * the linger time is over.
 *
 * <p>Thread-safe. Invariant: what the connections of an address hold in memory stays within the limits of that address.
 */
final class MeshListeners implements AutoCloseable {

    private static final int IO_THREADS = 1;
    private static final int BUFFER_BYTES = 8_192;

    /** Higher than the limit that operators set for headers. */
    private static final int MAXIMUM_HEADER_BYTES = 65_536;

    private static final int MAXIMUM_HEADERS = 200;
    private static final long UNLIMITED_BYTES = -1;
    private static final int PARSE_TIMEOUT_MS = 10_000;

    /** Longer than the idle time that operators allow, so that no caller sends a request on a closed connection. */
    private static final int IDLE_TIMEOUT_MS = 75_000;

    private static final OptionMap SERVER_OPTIONS = OptionMap.builder()
            .set(UndertowOptions.MAX_HEADER_SIZE, MAXIMUM_HEADER_BYTES)
            .set(UndertowOptions.MAX_HEADERS, MAXIMUM_HEADERS)
            // The limit of the configuration applies; the library's default is lower.
            .set(UndertowOptions.MAX_ENTITY_SIZE, UNLIMITED_BYTES)
            .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, PARSE_TIMEOUT_MS)
            .set(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MS)
            .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
            .set(UndertowOptions.DECODE_URL, false)
            .getMap();

    private final List<HttpServer> servers = new ArrayList<>();
    private final LongSupplier lingerMs;

    private MeshListeners(final LongSupplier lingerMs) {
        this.lingerMs = Objects.requireNonNull(lingerMs, "lingerMs");
    }

    /**
     * Starts the server.
     *
     * @param addresses the addresses to listen on, with the limits and the handler of each, not null.
     * @param lingerMs supplies the longest time for which accepted connections stay open when the server is closed, in
     *     milliseconds, not null.
     * @return the running server, never null.
     * @throws IOException if an address cannot be bound; nothing is left open.
     */
    static MeshListeners open(
            final Map<InetSocketAddress, InboundConnections.Dependencies> addresses, final LongSupplier lingerMs)
            throws IOException {
        MeshListeners listeners = new MeshListeners(lingerMs);
        try {
            for (Map.Entry<InetSocketAddress, InboundConnections.Dependencies> address : addresses.entrySet()) {
                listeners.listen(address.getKey(), address.getValue());
            }
            return listeners;
        } catch (IOException exception) {
            listeners.servers.forEach(HttpServer::close);
            throw new IOException("cannot listen on " + addresses.keySet() + ": " + exception.getMessage(), exception);
        }
    }

    private void listen(final InetSocketAddress address, final InboundConnections.Dependencies dependencies)
            throws IOException {
        HttpServer server = HttpServer.start(dependencies.name(), IO_THREADS, BUFFER_BYTES);
        servers.add(server);
        InboundConnections connections = new InboundConnections(dependencies);
        server.listen(
                address,
                SERVER_OPTIONS,
                new HttpContinueReadHandler(connections),
                next -> channel -> connections.begin(channel, next));
    }

    @Override
    public void close() {
        servers.forEach(HttpServer::stopAccepting);
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(lingerMs.getAsLong());
        try {
            for (HttpServer server : servers) {
                server.awaitConnectionsClosed(TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime()));
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
        servers.forEach(HttpServer::close);
    }
}
