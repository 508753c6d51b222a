package org.sequoiashunt.node.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.Callable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sequoiashunt.limit.SlidingWindowRetryBudget;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.placement.NodeLocation;
import org.sequoiashunt.target.TargetAnnouncement;

/** Two nodes of different regions on loopback; a target stands beside the second one only. */
@Timeout(40)
class MeshNodeTest {

    private static final MeshHeaders NAMES =
            new MeshHeaders("Request-Id", "Left-Ms", "Signature", "Expected", "Not-Run", "Caller");
    private static final String WHOLE =
            "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\nContent-Length: 5\r\n\r\nhello";

    private final FakePlatform platform = new FakePlatform();
    private final FakePlatform otherAccess = platform.anotherAccess();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final List<MeshNode> nodes = new ArrayList<>();
    private final List<MeshSettings> settings = new ArrayList<>();
    private ScriptedTarget target;

    /** Announcements in the form {@code host:port sequence}. */
    private static final class PlainAnnouncements implements AnnouncementDecoder {

        @Override
        public String targetOf(final String path) {
            return path.length() > 1 ? path.substring(1) : null;
        }

        @Override
        public TargetAnnouncement decode(final String target, final byte[] body) throws AnnouncementRefusedException {
            String[] words = new String(body, StandardCharsets.UTF_8).split(" ");
            if (words.length != 3) {
                throw new AnnouncementRefusedException("three words are expected");
            }
            return new TargetAnnouncement(
                    target,
                    NodeAddress.parse(words[0]),
                    "desk",
                    "v1",
                    4,
                    words[2].equals("leaving"),
                    1,
                    Long.parseLong(words[1]),
                    0);
        }

        @Override
        public OptionalLong bornMs(final byte[] body) {
            return OptionalLong.empty();
        }
    }

    @BeforeEach
    void open() throws IOException {
        for (String region : List.of("north", "south")) {
            MeshSettings node = settings(region);
            settings.add(node);
            FakePlatform access = region.equals("north") ? platform : otherAccess;
            nodes.add(MeshNode.open(
                    node, new MeshNode.MeshPorts(access, NAMES, new PlainAnnouncements(), new MeshMetrics())));
        }
    }

    @AfterEach
    void close() throws Exception {
        for (MeshNode node : nodes) {
            node.close();
        }
        if (target != null) {
            target.close();
        }
    }

    private static MeshSettings settings(final String region) throws IOException {
        return new MeshSettings(
                new NodeLocation("n-" + region, new NodeAddress("127.0.0.1", freePort()), "d-" + region, region),
                "kiosk",
                new InetSocketAddress("127.0.0.1", freePort()),
                new InetSocketAddress("127.0.0.1", freePort()),
                new InetSocketAddress("127.0.0.1", freePort()),
                Optional.of(new InetSocketAddress("127.0.0.1", freePort())),
                1_500,
                6_000,
                new SlidingWindowRetryBudget.Bounds(0.2, 50, 10_000));
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    private HttpResponse<String> send(final InetSocketAddress address, final HttpRequest.Builder request)
            throws Exception {
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private static HttpRequest.Builder request(final InetSocketAddress address, final String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + address.getPort() + path))
                .timeout(Duration.ofSeconds(10));
    }

    private HttpResponse<String> call(final int node, final String path, final String id) throws Exception {
        InetSocketAddress callers = settings.get(node).callers();
        try (Socket socket = new Socket("127.0.0.1", callers.getPort())) {
            return exchange(socket, path, id);
        }
    }

    /** The client of the JDK does not set the host, so requests are written by hand. */
    private HttpResponse<String> exchange(final Socket socket, final String path, final String id) throws Exception {
        write(socket, path, id);
        return RawResponse.read(socket.getInputStream());
    }

    private static void write(final Socket socket, final String path, final String id) throws IOException {
        String text = "GET " + path + " HTTP/1.1\r\nHost: desk\r\nRequest-Id: " + id
                + "\r\nLeft-Ms: 1000\r\nCaller: forged\r\n\r\n";
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private int announce(final int node, final String body) throws Exception {
        InetSocketAddress address = settings.get(node).announcements();
        return send(address, request(address, "/t-1").PUT(HttpRequest.BodyPublishers.ofString(body)))
                .statusCode();
    }

    private void startTarget(final String... steps) throws Exception {
        target = new ScriptedTarget(steps);
        assertEquals(200, announce(1, target.address() + " 1 ready"));
    }

    private static void await(final Callable<Boolean> condition) throws Exception {
        long endNanos = System.nanoTime() + 10_000_000_000L;
        while (!condition.call()) {
            assertTrue(System.nanoTime() < endNanos, "the condition was not met in time");
            Thread.sleep(20);
        }
    }

    /** Waits until the first node places requests on the target beside the second one. */
    private void awaitServing() throws Exception {
        await(() -> call(0, "/look/1", "probe").statusCode() == 200);
    }

    @Test
    void aRequestIsServedByTheTargetOfAnotherNode() throws Exception {
        startTarget(WHOLE, WHOLE, WHOLE);
        awaitServing();
        HttpResponse<String> answer = call(0, "/look/7?plate=29A", "id-7");
        assertEquals(200, answer.statusCode());
        assertEquals("hello", answer.body());
        String seen = target.requests().get(target.requests().size() - 1);
        assertTrue(seen.startsWith("GET /look/7?plate=29A HTTP/1.1"), seen);
        assertTrue(seen.contains("Caller: kiosk\n") && !seen.contains("forged"), seen);
        assertTrue(seen.contains("Expected: t-1\n") && seen.contains("Request-Id: id-7\n"), seen);
    }

    @Test
    void withoutATargetARequestIsRefusedAtOnce() throws Exception {
        await(() -> call(0, "/none/", "id").statusCode() == 404);
        HttpResponse<String> refused = call(0, "/look/1", "id");
        assertEquals(503, refused.statusCode());
        assertTrue(
                Double.parseDouble(refused.headers().firstValue("Retry-After").orElseThrow()) > 0);
    }

    /** Callers give up requests that lay unread; none of these is to be sent on. */
    @Test
    void requestsWhoseCallersHaveLeftAreNotSentOn() throws Exception {
        int sent = 60;
        startTarget(Collections.nCopies(2 * sent, WHOLE).toArray(String[]::new));
        awaitServing();
        int before = target.requests().size();
        for (int request = 0; request < sent; request++) {
            try (Socket socket =
                    new Socket("127.0.0.1", settings.get(0).callers().getPort())) {
                write(socket, "/look/" + request, "gone-" + request);
            }
        }
        assertEquals(200, call(0, "/look/1", "stays").statusCode());
        int reached = target.requests().size() - before;
        assertTrue(reached <= sent / 4, reached + " of " + sent + " requests reached the target");
    }

    @Test
    void callersThatHaveLeftDoNotHoldUpADrain() throws Exception {
        startTarget("SILENT", "SILENT", "SILENT", "SILENT");
        await(() -> call(0, "/look/1", "probe").statusCode() != 503);
        try (Socket late = new Socket("127.0.0.1", settings.get(0).callers().getPort())) {
            write(late, "/look/2", "leaves-later");
            await(() -> target.requests().size() >= 2);
        }
        try (Socket early = new Socket("127.0.0.1", settings.get(0).callers().getPort())) {
            write(early, "/look/3", "leaves-at-once");
        }
        long startNanos = System.nanoTime();
        nodes.get(0).drain();
        long drainMs = (System.nanoTime() - startNanos) / 1_000_000;
        assertTrue(drainMs < 4_000, "drained in " + drainMs + " ms");
    }

    @Test
    void aLeavingTargetGetsNoWorkOnceThatIsAcknowledged() throws Exception {
        startTarget(WHOLE, WHOLE, WHOLE, WHOLE);
        awaitServing();
        assertEquals(200, announce(1, target.address() + " 2 leaving"));
        int before = target.requests().size();
        assertEquals(503, call(0, "/look/2", "id-2").statusCode());
        assertEquals(503, call(1, "/look/3", "id-3").statusCode());
        assertEquals(before, target.requests().size());
        assertEquals(400, announce(1, "garbage"));
    }

    @Test
    void aCallerWhoLeavesEndsTheWorkOnItsRequest() throws Exception {
        startTarget(WHOLE, "SILENT", WHOLE);
        awaitServing();
        int connections = target.connectionCount();
        try (Socket socket = new Socket("127.0.0.1", settings.get(0).callers().getPort())) {
            write(socket, "/look/2", "id-2");
            await(() -> target.requests().size() >= 2);
        }
        await(() -> call(0, "/look/3", "id-3").statusCode() == 200);
        assertTrue(target.connectionCount() > connections, "the broken-off connection is not used again");
    }

    @Test
    void aRequestThatFollowsABodyWhileThatIsServedIsAnswered() throws Exception {
        startTarget(WHOLE, WHOLE, WHOLE);
        awaitServing();
        try (Socket socket = new Socket("127.0.0.1", settings.get(0).callers().getPort())) {
            socket.setSoTimeout(5_000);
            String text = "POST /look/1 HTTP/1.1\r\nHost: desk\r\nRequest-Id: body\r\nLeft-Ms: 1000\r\n"
                    + "Content-Length: 4\r\n\r\nabcd";
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            Thread.sleep(2);
            write(socket, "/look/2", "follows");
            assertEquals(200, RawResponse.read(socket.getInputStream()).statusCode());
            assertEquals(200, RawResponse.read(socket.getInputStream()).statusCode());
        }
    }

    @Test
    void pipelinedRequestsAreAnsweredInTurn() throws Exception {
        startTarget(WHOLE, WHOLE, WHOLE);
        awaitServing();
        try (Socket socket = new Socket("127.0.0.1", settings.get(0).callers().getPort())) {
            write(socket, "/look/2", "id-2");
            write(socket, "/look/3", "id-3");
            assertEquals(200, RawResponse.read(socket.getInputStream()).statusCode());
            assertEquals(200, RawResponse.read(socket.getInputStream()).statusCode());
        }
    }

    @Test
    void aChangeReachesANodeThatTheStoreRefuses() throws Exception {
        await(() -> call(0, "/v1/", "id").statusCode() == 503);
        platform.commit(2);
        await(() -> call(0, "/v2/", "id").statusCode() == 503
                && call(1, "/v2/", "id").statusCode() == 503);
        platform.fail(true);
        Thread.sleep(100);
        platform.commit(3);
        await(() -> call(0, "/v3/", "id").statusCode() == 503);
        assertEquals(404, call(0, "/v2/", "id").statusCode(), "the version before is not in force any more");
    }

    @Test
    void aChangeMadeWhileNoNodeHearsOfItIsInForceAfterwards() throws Exception {
        await(() -> call(0, "/v1/", "id").statusCode() == 503);
        platform.fail(true);
        otherAccess.fail(true);
        Thread.sleep(100);
        platform.commit(2);
        Thread.sleep(300);
        assertEquals(404, call(0, "/v2/", "id").statusCode());
        assertEquals(503, call(0, "/v1/", "id").statusCode());
        platform.fail(false);
        otherAccess.fail(false);
        await(() -> call(0, "/v2/", "id").statusCode() == 503);
    }

    @Test
    void aNodeThatDrainsIsNotReadyAndServesWhatItHolds() throws Exception {
        InetSocketAddress readiness = settings.get(0).readiness();
        await(() -> send(readiness, request(readiness, "/")).statusCode() == 200);
        Thread drain = new Thread(() -> {
            try {
                nodes.get(0).drain();
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        });
        drain.start();
        await(() -> send(readiness, request(readiness, "/")).statusCode() == 503);
        HttpResponse<String> answer = call(0, "/look/1", "id");
        assertEquals("close", answer.headers().firstValue("connection").orElse(""));
        drain.join(6_000);
        assertTrue(!drain.isAlive());
    }
}
