package org.sequoiashunt.node.mesh;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.handlers.HttpContinueReadHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * HTTP server that listens on all HTTP addresses of a node, each with an I/O thread of its own, so that no input at one
 * address delays the others.
 *
 * <p>Thread-safe. Invariant: what the connections of an address hold in memory stays within the limits of that address.
 */
final class MeshListeners implements AutoCloseable {

    private static final int IO_THREADS = 1;
    private static final int WORKER_THREADS = 1;
    private static final int BUFFER_BYTES = 8_192;
    private static final int BUFFERS_PER_THREAD = 4;

    /** Higher than the limit that operators set for headers. */
    private static final int MAXIMUM_HEADER_BYTES = 65_536;

    private static final int MAXIMUM_HEADERS = 200;
    private static final long UNLIMITED_BYTES = -1;
    private static final int PARSE_TIMEOUT_MS = 10_000;

    /** Longer than the idle time that operators allow, so that no caller sends a request on a closed connection. */
    private static final int IDLE_TIMEOUT_MS = 75_000;

    private static final int BACKLOG_CONNECTIONS = 1_024;

    private static final OptionMap SOCKET_OPTIONS = OptionMap.builder()
            .set(Options.TCP_NODELAY, true)
            .set(Options.REUSE_ADDRESSES, true)
            .set(Options.BACKLOG, BACKLOG_CONNECTIONS)
            .getMap();

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

    private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, -1, BUFFERS_PER_THREAD);
    private final List<XnioWorker> workers = new ArrayList<>();
    private final List<AcceptingChannel<StreamConnection>> channels = new ArrayList<>();
    private final List<InboundConnections> connections = new ArrayList<>();

    private MeshListeners() {}

    /**
     * Starts the server.
     *
     * @param addresses the addresses to listen on, with the limits and the handler of each, not null.
     * @return the running server, never null.
     * @throws IOException if an address cannot be bound; nothing is left open.
     */
    static MeshListeners open(final Map<InetSocketAddress, InboundConnections.Dependencies> addresses)
            throws IOException {
        MeshListeners listeners = new MeshListeners();
        try {
            for (Map.Entry<InetSocketAddress, InboundConnections.Dependencies> address : addresses.entrySet()) {
                listeners.listen(address.getKey(), address.getValue());
            }
            return listeners;
        } catch (IOException exception) {
            listeners.close();
            throw new IOException("cannot listen on " + addresses.keySet() + ": " + exception.getMessage(), exception);
        }
    }

    private void listen(final InetSocketAddress address, final InboundConnections.Dependencies dependencies)
            throws IOException {
        XnioWorker worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_NAME, dependencies.name())
                        .set(Options.WORKER_IO_THREADS, IO_THREADS)
                        .set(Options.WORKER_TASK_CORE_THREADS, WORKER_THREADS)
                        .set(Options.WORKER_TASK_MAX_THREADS, WORKER_THREADS)
                        .set(Options.TCP_NODELAY, true)
                        .getMap());
        workers.add(worker);
        HttpOpenListener openListener = new HttpOpenListener(buffers, SERVER_OPTIONS);
        InboundConnections inbound = new InboundConnections(dependencies, openListener);
        openListener.setRootHandler(new HttpContinueReadHandler(inbound));
        AcceptingChannel<StreamConnection> channel = worker.createStreamConnectionServer(
                address, ChannelListeners.openListenerAdapter(inbound), SOCKET_OPTIONS);
        channels.add(channel);
        connections.add(inbound);
        channel.resumeAccepts();
    }

    @Override
    public void close() {
        channels.forEach(IoUtils::safeClose);
        connections.forEach(InboundConnections::closeAll);
        workers.forEach(XnioWorker::shutdownNow);
    }
}
