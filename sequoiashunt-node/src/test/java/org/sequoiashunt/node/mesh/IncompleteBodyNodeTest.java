package org.sequoiashunt.node.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiashunt.memory.LoopbackAddresses;

/** Bodies that are cut on the way between caller, node and target: none may look complete at its next hop. */
@Timeout(40)
class IncompleteBodyNodeTest {

    private static final MeshHeaders HEADER_NAMES = new MeshHeaders(
            "Request-Id", "Left-Ms", "Signature", "Expected", "Not-Run", "Caller", "Organisation", "Load", "Warm-Up");
    private static final String HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\n";
    private static final String RESPONSE = HEAD + "Content-Length: 4\r\n\r\nbody";

    private final MeshSettings settings = MeshNodeTest.settings("north");
    private MeshNode node;
    private ScriptedTarget target;

    @BeforeEach
    void open() throws Exception {
        node = MeshNode.open(
                settings,
                new MeshNode.PlatformComponents(
                        new FakePlatform(),
                        HEADER_NAMES,
                        new MeshNodeTest.PlainTextAnnouncementDecoder(),
                        new MeshMetrics()));
        target = new ScriptedTarget();
        InetSocketAddress address = settings.announcementAddress();
        URI uri = URI.create("http://" + address.getHostString() + ":" + address.getPort() + "/t-1");
        HttpRequest announcement = HttpRequest.newBuilder(uri)
                .PUT(HttpRequest.BodyPublishers.ofString(target.address() + " 1 ready"))
                .build();
        HttpClient.newHttpClient().send(announcement, HttpResponse.BodyHandlers.ofString());
        long endNanos = System.nanoTime() + 10_000_000_000L;
        target.add(RESPONSE);
        while (!exchange("Content-Length: 0\r\n\r\n", false).startsWith("HTTP/1.1 200 ")) {
            assertTrue(System.nanoTime() < endNanos, "the target was not reached in time");
            Thread.sleep(20);
        }
    }

    @AfterEach
    void close() throws Exception {
        node.close();
        target.close();
    }

    /** Sends a request and returns all that the node sends until it closes the connection. */
    private String exchange(final String framingAndBody, final boolean cut) throws IOException {
        try (Socket socket =
                new Socket(LoopbackAddresses.host(), settings.callerAddress().getPort())) {
            socket.setSoTimeout(10_000);
            String text = "POST /slow/1 HTTP/1.1\r\nHost: desk\r\nRequest-Id: id-" + System.nanoTime()
                    + "\r\nLeft-Ms: 5000\r\nConnection: close\r\n" + framingAndBody;
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            if (cut) {
                socket.shutdownOutput();
            }
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    /** Guards against uploads that are stored in part. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 4000\r\n\r\nabcd",
                "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n",
                "Transfer-Encoding: chunked\r\n\r\n8\r\nabcd"
            })
    void requestWhoseBodyIsCutReachesNoTarget(final String framingAndBody) throws Exception {
        int before = target.requests().size();
        assertFalse(exchange(framingAndBody, true).startsWith("HTTP/1.1 200 "));
        target.add(RESPONSE);
        assertTrue(exchange("Content-Length: 4\r\n\r\nabcd", false).startsWith("HTTP/1.1 200 "));
        assertEquals(before + 1, target.requests().size(), "only the whole request");
        assertTrue(target.requests().get(before).endsWith("\nabcd"));
    }

    /** Guards against downloads that are cut at the target and reach the caller as complete. */
    @ParameterizedTest
    @ValueSource(
            strings = {"Content-Length: 4000\r\n\r\nbodyFIN", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\nFIN"})
    void answerWhoseBodyIsCutIsNoSuccess(final String framingAndBody) throws Exception {
        target.add(HEAD + framingAndBody);
        String answer = exchange("Content-Length: 0\r\n\r\n", false);
        assertTrue(answer.startsWith("HTTP/1.1 502 "), answer);
    }

    /** Guards against an answer that a caller cannot tell from its first part if the node ends while it sends. */
    @Test
    void answerToTheCallerStatesItsLength() throws Exception {
        target.add(HEAD + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
        String answer = exchange("Content-Length: 0\r\n\r\n", false);
        assertTrue(answer.contains("Content-Length: 4\r\n") && answer.endsWith("\r\n\r\nbody"), answer);
    }
}
