package org.sequoiashunt.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
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
        client = PooledHttpClient.of(worker, SystemClock.start(), MAXIMUM_RESPONSE_BYTES, Set.of("x-outcome"));
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

    @ParameterizedTest(name = "{0}")
    @MethodSource("org.sequoiashunt.http.MalformedResponses#all")
    void bytesThatAreNotOneResponseAreNotReturned(final String name, final String response) throws Exception {
        serve(response, true);
        assertTrue(kindOfFailure(TIMEOUT_MS).mayHaveBeenSent(), name);
    }

    @Test
    void fieldThatMayStandOnceAndStandsTwiceIsMalformed() {
        serve("HTTP/1.1 200 OK\r\nX-Outcome: a\r\nX-Outcome: b\r\nContent-Length: 0\r\n\r\n", false);
        assertEquals(Kind.MALFORMED, kindOfFailure(TIMEOUT_MS));
    }

    @Test
    void interimResponseIsNotTheResponse() throws Exception {
        serve("HTTP/1.1 102 Processing\r\n\r\n" + response("second"), false);
        assertEquals("second", bodyOfNextResponse());
    }

    @Test
    void bytesBehindAResponseAreNotTheNextResponse() throws Exception {
        serve(response("first") + response("late"), false);
        assertEquals("first", bodyOfNextResponse());
        serve(response("second"), false);
        assertEquals("second", bodyOfNextResponse());
    }

    @Test
    void bytesThatArriveOnAnIdleConnectionAreNotTheNextResponse() throws Exception {
        CountDownLatch firstEnded = new CountDownLatch(1);
        serve(socket -> {
            readHead(socket.getInputStream());
            write(socket, response("first"));
            firstEnded.await();
            write(socket, response("late"));
        });
        assertEquals("first", bodyOfNextResponse());
        firstEnded.countDown();
        Thread.sleep(SHORT_TIMEOUT_MS);
        serve(response("second"), false);
        assertEquals("second", bodyOfNextResponse());
    }

    @Test
    void responseBeforeTheRequestIsWrittenIsNotReturned() {
        serve(response("early"), false);
        HttpRequest large = new HttpRequest("POST", "/", List.of(), Body.of(new byte[64 << 20]), false);
        ExecutionException failure = assertThrows(
                ExecutionException.class,
                () -> client.send(address(), large, TIMEOUT_MS).get());
        assertTrue(((HttpException) failure.getCause()).kind().mayHaveBeenSent());
    }

    @Test
    void headWithoutEndEndsLongBeforeTheTimeout() {
        serve(socket -> {
            readHead(socket.getInputStream());
            write(socket, "HTTP/1.1 200 OK\r\n");
            while (true) {
                write(socket, "Name: " + "x".repeat(1_000) + "\r\n");
            }
        });
        assertEquals(Kind.TOO_LARGE, kindOfFailure(TIMEOUT_MS));
    }

    private static String response(final String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private String bodyOfNextResponse() throws Exception {
        CallResponse response = client.send(address(), REQUEST, TIMEOUT_MS).get();
        return new String(response.body().bytes(), StandardCharsets.UTF_8);
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
        serve(socket -> {
            readHead(socket.getInputStream());
            write(socket, text);
            if (close) {
                socket.close();
            }
        });
    }

    private static void write(final Socket socket, final String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Accepts one connection and runs a script on it. */
    private void serve(final Script script) {
        Thread thread = new Thread(() -> {
            try {
                script.run(server.accept());
            } catch (IOException | InterruptedException exception) {
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

    /** What a server does on one connection. */
    @FunctionalInterface
    private interface Script {
        void run(Socket socket) throws IOException, InterruptedException;
    }
}
