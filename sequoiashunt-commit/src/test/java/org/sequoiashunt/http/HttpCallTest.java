package org.sequoiashunt.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.client.ClientRequest;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.xnio.OptionMap;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Checks calls against a server that sends given bytes. */
@Timeout(30)
class HttpCallTest {

    private static final ResponseRules RULES =
            new ResponseRules(1_000_000, Set.of(), false, new ResponseMemory(4_000_000));
    private static final long TIMEOUT_MS = 3_000;
    private static final String COMPLETE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

    private final CountDownLatch testEnds = new CountDownLatch(1);
    private XnioWorker worker;
    private ServerSocket server;

    @BeforeEach
    void open() throws IOException {
        worker = Xnio.getInstance().createWorker(OptionMap.EMPTY);
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void close() throws IOException {
        testEnds.countDown();
        worker.shutdownNow();
        server.close();
    }

    @Test
    void completeResponseIsReturned() throws IOException {
        serve(COMPLETE);
        assertEquals(
                200, createCall(0).run(address(), worker, buffers(), TIMEOUT_MS).status());
    }

    @Test
    void chunksAndTrailersAreRead() throws IOException {
        serve("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=b\r\n{\r\n01\r\n}\r\n0\r\nName: a\r\n\r\n");
        HttpResponse response = createCall(0).run(address(), worker, buffers(), TIMEOUT_MS);
        assertEquals("{}", new String(response.body(), StandardCharsets.US_ASCII));
    }

    @Test
    void interimResponseIsNotTheResponse() throws IOException {
        serve("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 412 Precondition Failed\r\nContent-Length: 2\r\n\r\n{}");
        assertEquals(
                412, createCall(0).run(address(), worker, buffers(), TIMEOUT_MS).status());
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("org.sequoiashunt.http.MalformedResponses#all")
    void bytesThatAreNotOneResponseAreRefused(final String name, final String response) throws IOException {
        serve(response);
        HttpCall call = createCall(0);
        assertThrows(IOException.class, () -> call.run(address(), worker, buffers(), TIMEOUT_MS));
        assertTrue(call.wasSent(), name);
    }

    @Test
    void secondResponseBehindTheFirstLeavesTheOutcomeUnknown() throws IOException {
        serve(COMPLETE + "HTTP/1.1 412 Precondition Failed\r\nContent-Length: 2\r\n\r\n{}");
        HttpCall call = createCall(0);
        assertThrows(IOException.class, () -> call.run(address(), worker, buffers(), TIMEOUT_MS));
        assertTrue(call.wasSent());
    }

    @Test
    void responseBeforeTheRequestIsWrittenIsRefused() throws IOException {
        serve(COMPLETE);
        HttpCall call = createCall(64 << 20);
        assertThrows(IOException.class, () -> call.run(address(), worker, buffers(), TIMEOUT_MS));
        assertTrue(call.wasSent());
    }

    private HttpCall createCall(final int bodyBytes) {
        ClientRequest request = new ClientRequest().setMethod(Methods.POST).setPath("/-/kv-txn");
        request.getRequestHeaders().put(Headers.HOST, "store").put(Headers.CONTENT_LENGTH, bodyBytes);
        return new HttpCall(request, new byte[bodyBytes], RULES);
    }

    private static DefaultByteBufferPool buffers() {
        return new DefaultByteBufferPool(true, 16_384, 16, 0);
    }

    private URI address() {
        return URI.create("http://127.0.0.1:" + server.getLocalPort());
    }

    /** Reads one request head, sends the text and leaves the connection open for a while. */
    private void serve(final String text) {
        Thread thread = new Thread(() -> {
            try (Socket socket = server.accept()) {
                readHead(socket);
                socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
                testEnds.await(TIMEOUT_MS / 3, TimeUnit.MILLISECONDS);
                socket.shutdownOutput();
                testEnds.await();
            } catch (IOException | InterruptedException exception) {
                // The test has ended.
                return;
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private static void readHead(final Socket socket) throws IOException {
        int last = 0;
        while (last != 0x0D0A0D0A) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                throw new IOException("closed");
            }
            last = last << 8 | next;
        }
    }
}
