package org.sequoiashunt.node;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Checks what becomes of the accepted connections of a server that stops. Not instantiable. */
public final class StoppedConnections {

    private static final int TIMEOUT_MS = 10_000;

    /** Longer than a server needs to close if it does not wait for its connections. */
    private static final int REQUEST_DELAY_MS = 300;

    private static final String REQUEST = "GET / HTTP/1.1\r\nHost: desk\r\n";

    private StoppedConnections() {}

    /**
     * Sends a request after the server has stopped accepting, on a connection that was accepted before.
     *
     * @param address the address of the server, not null.
     * @param server the server, whose linger time is longer than the timeouts of this test, not null.
     * @return the answer until the end of the connection, never null.
     */
    public static String requestAfterStop(final InetSocketAddress address, final AutoCloseable server)
            throws IOException, InterruptedException {
        Thread closing;
        String answer;
        try (Socket accepted = connect(address)) {
            // The server accepts in the order of arrival, so it has accepted the first connection with the second.
            exchange(address);
            closing = startClosing(server);
            awaitRefusedConnections(address);
            closing.join(REQUEST_DELAY_MS);
            assertTrue(closing.isAlive(), "the server waits for the accepted connection");
            write(accepted, REQUEST + "\r\n");
            answer = readAll(accepted);
        }
        closing.join(TIMEOUT_MS);
        assertFalse(closing.isAlive(), "the server ends with its last connection");
        return answer;
    }

    /** Closes a server while a connection is idle after a request, and checks that the connection is closed then. */
    public static void stopWithIdleConnection(final InetSocketAddress address, final AutoCloseable server)
            throws IOException, InterruptedException {
        try (Socket idle = connect(address)) {
            write(idle, REQUEST + "\r\n");
            assertTrue(idle.getInputStream().read() > 0);
            Thread closing = startClosing(server);
            closing.join(TIMEOUT_MS);
            assertFalse(closing.isAlive(), "an idle connection does not keep the server open");
            assertFalse(isAccepting(address));
            readAll(idle);
        }
    }

    private static Thread startClosing(final AutoCloseable server) {
        Thread closing = new Thread(() -> {
            try {
                server.close();
            } catch (Exception exception) {
                throw new IllegalStateException(exception);
            }
        });
        closing.start();
        return closing;
    }

    private static void awaitRefusedConnections(final InetSocketAddress address)
            throws IOException, InterruptedException {
        long endNanos = System.nanoTime() + TIMEOUT_MS * 1_000_000L;
        while (isAccepting(address)) {
            assertTrue(System.nanoTime() < endNanos, "the server accepts connections");
            Thread.sleep(1);
        }
    }

    private static boolean isAccepting(final InetSocketAddress address) throws IOException {
        try (Socket socket = connect(address)) {
            return socket.isConnected();
        } catch (ConnectException exception) {
            return false;
        }
    }

    private static void exchange(final InetSocketAddress address) throws IOException {
        try (Socket socket = connect(address)) {
            write(socket, REQUEST + "Connection: close\r\n\r\n");
            assertTrue(readAll(socket).startsWith("HTTP/1.1 "));
        }
    }

    private static Socket connect(final InetSocketAddress address) throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(TIMEOUT_MS);
        return socket;
    }

    private static void write(final Socket socket, final String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String readAll(final Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }
}
