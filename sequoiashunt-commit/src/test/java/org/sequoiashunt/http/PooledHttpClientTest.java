package org.sequoiashunt.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.commit.SystemClock;
import org.sequoiashunt.http.HttpException.Kind;
import org.sequoiashunt.peer.NodeAddress;
import org.xnio.OptionMap;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

@Timeout(30)
class PooledHttpClientTest {

    private static final int MAXIMUM_RESPONSE_BYTES = 1_000;
    private static final long TIMEOUT_MS = 5_000;
    private static final long SHORT_TIMEOUT_MS = 200;
    private static final HttpRequest REQUEST = new HttpRequest("GET", "/", List.of(), Body.EMPTY, true);

    private XnioWorker worker;
    private PooledHttpClient client;
    private ServerSocket server;

    @BeforeEach
    void open() throws IOException {
        worker = Xnio.getInstance().createWorker(OptionMap.EMPTY);
        client = PooledHttpClient.of(worker, SystemClock.start(), MAXIMUM_RESPONSE_BYTES);
        server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void close() throws IOException {
        client.close();
        worker.shutdownNow();
        server.close();
    }

    @Test
    void completeResponseIsReturned() throws Exception {
        serve("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Name: a\r\n\r\nhello", false);
        CallResponse response = client.send(address(), REQUEST, TIMEOUT_MS).get();
        assertEquals(200, response.status());
        assertEquals("hello", new String(response.body().bytes(), StandardCharsets.UTF_8));
    }

    @Test
    void truncatedResponseReportsLostConnection() throws Exception {
        serve("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello", true);
        assertEquals(Kind.CONNECTION_LOST, kindOfFailure(TIMEOUT_MS));
    }

    @Test
    void truncatedChunkedResponseReportsLostConnection() throws Exception {
        serve("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", true);
        assertEquals(Kind.CONNECTION_LOST, kindOfFailure(TIMEOUT_MS));
    }

    @Test
    void responseWithoutLengthOrChunksIsMalformed() throws Exception {
        serve("HTTP/1.1 200 OK\r\n\r\nhello", true);
        assertEquals(Kind.MALFORMED, kindOfFailure(TIMEOUT_MS));
    }

    @Test
    void responseAboveSizeLimitIsTooLarge() throws Exception {
        serve("HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + "x".repeat(2_000), false);
        assertEquals(Kind.TOO_LARGE, kindOfFailure(TIMEOUT_MS));
    }

    @Test
    void silentPeerEndsInTimeout() throws Exception {
        serve("", false);
        assertEquals(Kind.TIMEOUT, kindOfFailure(SHORT_TIMEOUT_MS));
    }

    @Test
    void failedConnectionReportsNotSent() throws Exception {
        NodeAddress address = address();
        server.close();
        ExecutionException failure = assertThrows(
                ExecutionException.class,
                () -> client.send(address, REQUEST, TIMEOUT_MS).get());
        assertEquals(Kind.NOT_SENT, ((HttpException) failure.getCause()).kind());
    }

    @Test
    void zeroTimeoutReportsNotSent() {
        assertEquals(Kind.NOT_SENT, kindOfFailure(0));
    }

    private Kind kindOfFailure(final long timeoutMs) {
        ExecutionException failure = assertThrows(
                ExecutionException.class,
                () -> client.send(address(), REQUEST, timeoutMs).get(TIMEOUT_MS * 2, TimeUnit.MILLISECONDS));
        return ((HttpException) failure.getCause()).kind();
    }

    private NodeAddress address() {
        return new NodeAddress("127.0.0.1", server.getLocalPort());
    }

    /** Accepts one connection, sends a text after the request's head, and closes the connection or leaves it open. */
    private void serve(final String text, final boolean close) {
        Thread thread = new Thread(() -> {
            try {
                Socket socket = server.accept();
                readHead(socket.getInputStream());
                OutputStream output = socket.getOutputStream();
                output.write(text.getBytes(StandardCharsets.UTF_8));
                output.flush();
                if (close) {
                    socket.close();
                }
            } catch (IOException exception) {
                // The test has ended.
                return;
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private static void readHead(final InputStream input) throws IOException {
        int matched = 0;
        while (matched < 4) {
            int next = input.read();
            boolean expected = next == (matched % 2 == 0 ? '\r' : '\n');
            matched = expected ? matched + 1 : 0;
        }
    }
}
