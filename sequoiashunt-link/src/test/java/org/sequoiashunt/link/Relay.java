package org.sequoiashunt.link;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.sequoiashunt.peer.NodeAddress;

/**
 * TCP relay that can silence its open connections or truncate their answers, while new connections work. The data held
 * back by silenced connections can be released later.
 */
final class Relay implements Closeable {

    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final NodeAddress upstream;
    private final Thread acceptor;
    private final Socket portHolder = new Socket();
    private final List<RelayedConnection> connections = new CopyOnWriteArrayList<>();

    Relay(final NodeAddress upstream) throws IOException {
        this.upstream = upstream;
        acceptor = start(this::accept);
    }

    NodeAddress address() {
        return new NodeAddress(listener.getInetAddress().getHostAddress(), listener.getLocalPort());
    }

    int connections() {
        return connections.size();
    }

    void silence() {
        connections.forEach(connection -> connection.silent = true);
    }

    void release() {
        connections.forEach(connection -> connection.released.countDown());
    }

    /** Closes each open connection after it has transferred the given number of further answer bytes. */
    void cutAnswersAfter(final long bytes) {
        connections.forEach(connection -> connection.remainingBytes = bytes);
    }

    /**
     * Closes the open connections and refuses new ones. The port stays bound without a listener: a client to which the
     * system assigns a free port may connect to itself.
     */
    void refuseConnections() throws IOException {
        closeListener();
        portHolder.setReuseAddress(true);
        portHolder.bind(new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort()));
    }

    @Override
    public void close() throws IOException {
        closeListener();
        portHolder.close();
    }

    private void closeListener() throws IOException {
        listener.close();
        awaitLastAccept();
        for (RelayedConnection connection : connections) {
            connection.released.countDown();
            connection.close();
        }
    }

    /** Waits for the accepting thread: until it has left the system call, the system accepts one more connection. */
    private void awaitLastAccept() throws IOException {
        try {
            acceptor.join();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while the listener closes", exception);
        }
    }

    private void accept() throws IOException {
        while (true) {
            Socket clientSocket = listener.accept();
            RelayedConnection connection =
                    new RelayedConnection(clientSocket, new Socket(upstream.host(), upstream.port()));
            connections.add(connection);
            start(() ->
                    connection.copy(clientSocket.getInputStream(), connection.upstreamSocket.getOutputStream(), false));
            start(() ->
                    connection.copy(connection.upstreamSocket.getInputStream(), clientSocket.getOutputStream(), true));
        }
    }

    private static Thread start(final IoTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException exception) {
                // Tests close relayed connections on purpose.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Connection of a client and its connection to the upstream server. */
    private static final class RelayedConnection {
        private final Socket clientSocket;
        private final Socket upstreamSocket;
        private final CountDownLatch released = new CountDownLatch(1);
        private volatile boolean silent;
        private volatile long remainingBytes = Long.MAX_VALUE;

        private RelayedConnection(final Socket clientSocket, final Socket upstreamSocket) {
            this.clientSocket = clientSocket;
            this.upstreamSocket = upstreamSocket;
        }

        private void copy(final InputStream in, final OutputStream out, final boolean answers) throws IOException {
            byte[] buffer = new byte[4_096];
            int count = in.read(buffer);
            while (count >= 0) {
                awaitRelease();
                int passed = answers ? (int) Math.min(count, remainingBytes) : count;
                remainingBytes -= answers ? passed : 0;
                out.write(buffer, 0, passed);
                if (passed < count) {
                    close();
                }
                count = in.read(buffer);
            }
            awaitRelease();
            close();
        }

        private void awaitRelease() {
            try {
                if (silent) {
                    released.await();
                }
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }

        private void close() throws IOException {
            clientSocket.close();
            upstreamSocket.close();
        }
    }

    /** Task of a thread that may throw {@link IOException}. */
    @FunctionalInterface
    private interface IoTask {
        void run() throws IOException;
    }
}
