package org.sequoiashunt.node.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
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
import org.sequoiashunt.memory.LoopbackAddresses;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.placement.NodeLocation;
import org.sequoiashunt.quota.QuotaBounds;
import org.sequoiashunt.target.TargetAnnouncement;

/** Tests two nodes of different regions on the loopback interface; only the second node has a target. */
@Timeout(40)
class MeshNodeTest {

    private static final MeshHeaders HEADER_NAMES = new MeshHeaders(
            "Request-Id", "Left-Ms", "Signature", "Expected", "Not-Run", "Caller", "Organisation", "Load", "Warm-Up");
    private static final String COMPLETE_RESPONSE =
            "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\nContent-Length: 5\r\n\r\nhello";

    private final FakePlatform platform = new FakePlatform();
    private final FakePlatform otherPlatformClient = platform.newClient();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final List<MeshNode> nodes = new ArrayList<>();
    private final List<MeshSettings> settings = new ArrayList<>();
    private ScriptedTarget target;

    /** Decodes announcements of the form {@code host:port sequence state}; the state {@code leaving} means draining. */
    static final class PlainTextAnnouncementDecoder implements AnnouncementDecoder {

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
        public OptionalLong decodeStartTimeMs(final byte[] body) {
            return OptionalLong.empty();
        }
    }

    @BeforeEach
    void open() throws IOException {
        for (String region : List.of("north", "south")) {
            MeshSettings nodeSettings = settings(region);
            settings.add(nodeSettings);
            FakePlatform platformClient = region.equals("north") ? platform : otherPlatformClient;
            nodes.add(open(nodeSettings, platformClient));
        }
    }

    static MeshNode open(final MeshSettings nodeSettings, final FakePlatform platformClient) throws IOException {
        return MeshNode.open(
                nodeSettings,
                new MeshNode.PlatformComponents(
                        platformClient, HEADER_NAMES, new PlainTextAnnouncementDecoder(), new MeshMetrics()));
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

    static MeshSettings settings(final String region) {
        return new MeshSettings(
                new NodeLocation("n-" + region, LoopbackAddresses.next(), "d-" + region, region),
                600,
                "kiosk",
                nextSocketAddress(),
                nextSocketAddress(),
                nextSocketAddress(),
                Optional.of(nextSocketAddress()),
                1_500,
                6_000,
                new SlidingWindowRetryBudget.Bounds(0.2, 50, 10_000),
                Optional.of(new QuotaBounds(5_000, 0.1, 20)),
                Optional.empty(),
                0);
    }

    private static InetSocketAddress nextSocketAddress() {
        NodeAddress address = LoopbackAddresses.next();
        return new InetSocketAddress(address.host(), address.port());
    }

    private HttpResponse<String> send(final InetSocketAddress address, final HttpRequest.Builder request)
            throws Exception {
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private static HttpRequest.Builder request(final InetSocketAddress address, final String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address.getHostString() + ":" + address.getPort() + path))
                .timeout(Duration.ofSeconds(10));
    }

    private HttpResponse<String> call(final int node, final String path, final String id) throws Exception {
        InetSocketAddress callers = settings.get(node).callerAddress();
        try (Socket socket = new Socket(LoopbackAddresses.host(), callers.getPort())) {
            return exchange(socket, path, id);
        }
    }

    /** Writes the request to a socket, since the JDK's HTTP client does not allow setting the Host header. */
    private HttpResponse<String> exchange(final Socket socket, final String path, final String id) throws Exception {
        write(socket, path, id);
        return RawResponse.read(socket.getInputStream());
    }

    private static void write(final Socket socket, final String path, final String id) throws IOException {
        write(socket, path, id, 1_000);
    }

    private static void write(final Socket socket, final String path, final String id, final int remainingMs)
            throws IOException {
        String text = "GET " + path + " HTTP/1.1\r\nHost: desk\r\nRequest-Id: " + id + "\r\nLeft-Ms: " + remainingMs
                + "\r\nCaller: forged" + (path.contains("limited") ? "\r\nAuthorization: Bearer key" : "") + "\r\n\r\n";
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private int announce(final int node, final String body) throws Exception {
        return announce(node, "t-1", body);
    }

    private int announce(final int node, final String name, final String body) throws Exception {
        InetSocketAddress address = settings.get(node).announcementAddress();
        return send(address, request(address, "/" + name).PUT(HttpRequest.BodyPublishers.ofString(body)))
                .statusCode();
    }

    private void startTarget(final String... steps) throws Exception {
        target = new ScriptedTarget(steps);
        assertEquals(200, announce(1, target.address() + " 1 ready"));
    }

    /** Announces the target again and again until the returned thread is interrupted. */
    private Thread keepAnnouncing() {
        Thread thread = new Thread(() -> {
            try {
                for (int sequence = 2; true; sequence++) {
                    announce(1, target.address() + " " + sequence + " ready");
                    Thread.sleep(300);
                }
            } catch (Exception exception) {
                // The test interrupted the thread.
                return;
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static void await(final Callable<Boolean> condition) throws Exception {
        long endNanos = System.nanoTime() + 10_000_000_000L;
        while (!condition.call()) {
            assertTrue(System.nanoTime() < endNanos, "the condition was not met in time");
            Thread.sleep(20);
        }
    }

    /** Waits until the first node places requests on the target of the second node. */
    private void awaitTargetReachable() throws Exception {
        await(() -> call(0, "/look/1", "probe").statusCode() == 200);
    }

    /** Starts a target whose script the probes do not use, since a probe whose answer comes too late is sent again. */
    private void startReachableTarget(final String... steps) throws Exception {
        startTarget(steps);
        target.answerAlways("probe", COMPLETE_RESPONSE);
        awaitTargetReachable();
    }

    @Test
    void requestIsServedByTargetOfAnotherNode() throws Exception {
        startTarget(COMPLETE_RESPONSE, COMPLETE_RESPONSE, COMPLETE_RESPONSE);
        awaitTargetReachable();
        HttpResponse<String> answer = call(0, "/look/7?plate=29A", "id-7");
        assertEquals(200, answer.statusCode());
        assertEquals("hello", answer.body());
        String forwarded = target.requests().get(target.requests().size() - 1);
        assertTrue(forwarded.startsWith("GET /look/7?plate=29A HTTP/1.1"), forwarded);
        assertTrue(forwarded.contains("Caller: kiosk\n") && !forwarded.contains("forged"), forwarded);
        assertTrue(forwarded.contains("Expected: t-1\n") && forwarded.contains("Request-Id: id-7\n"), forwarded);
    }

    @Test
    void requestWithoutTargetIsRefusedWithRetryAfter() throws Exception {
        await(() -> call(0, "/none/", "id").statusCode() == 404);
        HttpResponse<String> refused = call(0, "/look/1", "id");
        assertEquals(503, refused.statusCode());
        assertTrue(
                Double.parseDouble(refused.headers().firstValue("Retry-After").orElseThrow()) > 0);
    }

    /** A request above the limit must not reach a target, and its caller is told when to come back. */
    @Test
    void requestAboveTheLimitOfItsOrganisationIsRefusedUnsent() throws Exception {
        startTarget(Collections.nCopies(200, COMPLETE_RESPONSE).toArray(String[]::new));
        platform.commit(FakePlatform.VERSION_WITH_LIMIT);
        await(() -> call(0, "/look/limited", "probe").statusCode() == 200);
        HttpResponse<String> answer;
        int answered = 0;
        do {
            answer = call(0, "/look/limited", "id-" + answered);
            answered++;
        } while (answer.statusCode() == 200 && answered < 150);
        assertEquals(429, answer.statusCode());
        assertTrue(Double.parseDouble(answer.headers().firstValue("Retry-After").orElseThrow()) > 0);
        String refused = "Request-Id: id-" + (answered - 1) + "\n";
        assertTrue(target.requests().stream().noneMatch(request -> request.contains(refused)), refused);
        assertTrue(
                target.requests().size() <= 53,
                () -> "sent " + target.requests().size());
    }

    /** Callers disconnect when their requests stay unread for too long; such requests must not reach a target. */
    @Test
    void requestsOfDisconnectedCallersAreNotForwarded() throws Exception {
        int sent = 60;
        startTarget(Collections.nCopies(2 * sent, COMPLETE_RESPONSE).toArray(String[]::new));
        awaitTargetReachable();
        int before = target.requests().size();
        for (int request = 0; request < sent; request++) {
            try (Socket socket = new Socket(
                    LoopbackAddresses.host(), settings.get(0).callerAddress().getPort())) {
                write(socket, "/look/" + request, "gone-" + request);
            }
        }
        assertEquals(200, call(0, "/look/1", "stays").statusCode());
        int forwarded = target.requests().size() - before;
        assertTrue(forwarded <= sent / 4, forwarded + " of " + sent + " requests reached the target");
    }

    @Test
    void disconnectedCallersDoNotDelayDrain() throws Exception {
        startTarget("SILENT", "SILENT", "SILENT", "SILENT");
        await(() -> call(0, "/look/1", "probe").statusCode() != 503);
        try (Socket late = new Socket(
                LoopbackAddresses.host(), settings.get(0).callerAddress().getPort())) {
            write(late, "/look/2", "leaves-later");
            await(() -> target.requests().size() >= 2);
        }
        try (Socket early = new Socket(
                LoopbackAddresses.host(), settings.get(0).callerAddress().getPort())) {
            write(early, "/look/3", "leaves-at-once");
        }
        long startNanos = System.nanoTime();
        nodes.get(0).drain();
        long drainMs = (System.nanoTime() - startNanos) / 1_000_000;
        assertTrue(drainMs < 4_000, "drained in " + drainMs + " ms");
    }

    /** Guards against requests in another node's queue that are cut by a planned stop and run afterwards. */
    @Test
    void requestsInTheQueueOfAnotherNodeAreRefusedBeforeAPlannedStop() throws Exception {
        startReachableTarget("SILENT", "SILENT", "SILENT", "SILENT");
        Thread announcements = keepAnnouncing();
        List<Socket> callers = new ArrayList<>();
        try {
            for (int request = 0; request < 7; request++) {
                Socket caller = new Socket(
                        LoopbackAddresses.host(),
                        settings.get(0).callerAddress().getPort());
                callers.add(caller);
                caller.setSoTimeout(10_000);
                write(caller, "/slow/" + request, "slow-" + request, 10_000);
                int running = Math.min(request + 1, 4);
                await(() -> target.requests().size() == running);
            }
            nodes.get(0).drain();
            announcements.interrupt();
            nodes.remove(0).close();
            for (int request = 0; request < callers.size(); request++) {
                HttpResponse<String> answer =
                        RawResponse.read(callers.get(request).getInputStream());
                assertEquals(request < 4 ? 502 : 503, answer.statusCode(), "request " + request);
            }
            assertEquals(4, target.requests().size(), "no refused request has run");
        } finally {
            for (Socket caller : callers) {
                caller.close();
            }
        }
    }

    /** Guards against requests that come late in a planned stop, are passed on and are cut at its end. */
    @Test
    void requestWhoseBodyEndsLateInAPlannedStopIsRefused() throws Exception {
        startReachableTarget("SILENT");
        try (Socket caller = new Socket(
                LoopbackAddresses.host(), settings.get(0).callerAddress().getPort())) {
            caller.setSoTimeout(10_000);
            String head = "POST /slow/1 HTTP/1.1\r\nHost: desk\r\nRequest-Id: late\r\nLeft-Ms: 9000\r\n"
                    + "Content-Length: 4\r\n\r\nab";
            caller.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            Thread announcements = keepAnnouncing();
            Thread drain = new Thread(() -> {
                try {
                    nodes.get(0).drain();
                } catch (InterruptedException exception) {
                    Thread.currentThread().interrupt();
                }
            });
            drain.start();
            Thread.sleep(3_000);
            caller.getOutputStream().write("cd".getBytes(StandardCharsets.ISO_8859_1));
            assertEquals(503, RawResponse.read(caller.getInputStream()).statusCode());
            assertEquals(0, target.requests().size());
            announcements.interrupt();
            drain.join();
        }
    }

    @Test
    void targetGetsNoRequestsAfterAcknowledgedDraining() throws Exception {
        startTarget(COMPLETE_RESPONSE, COMPLETE_RESPONSE, COMPLETE_RESPONSE, COMPLETE_RESPONSE);
        awaitTargetReachable();
        assertEquals(200, announce(1, target.address() + " 2 leaving"));
        int before = target.requests().size();
        assertEquals(503, call(0, "/look/2", "id-2").statusCode());
        assertEquals(503, call(1, "/look/3", "id-3").statusCode());
        assertEquals(before, target.requests().size());
        assertEquals(400, announce(1, "garbage"));
    }

    /** Guards against requests to a target that left, after its node has restarted and a late announcement arrives. */
    @Test
    void acknowledgedDepartureBindsTheRestartedNode() throws Exception {
        startTarget(COMPLETE_RESPONSE, COMPLETE_RESPONSE, COMPLETE_RESPONSE, COMPLETE_RESPONSE);
        awaitTargetReachable();
        assertEquals(200, announce(1, target.address() + " 6 leaving"));
        nodes.remove(1).close();
        nodes.add(open(settings.get(1), otherPlatformClient));
        await(() -> call(1, "/none/", "id").statusCode() == 404);
        int before = target.requests().size();
        announce(1, target.address() + " 5 ready");
        announce(1, target.address() + " 6 ready");
        Thread.sleep(300);
        assertEquals(503, call(1, "/look/2", "id-2").statusCode());
        assertEquals(before, target.requests().size());
    }

    /** Guards against a request that crashes each target and is sent on whenever it comes again. */
    @Test
    void requestThatCrashedThreeTargetsReachesNoOther() throws Exception {
        for (int crash = 1; crash <= 3; crash++) {
            String name = "t-" + crash;
            target = new ScriptedTarget(COMPLETE_RESPONSE, "RESET", "RESET");
            assertEquals(200, announce(1, name, target.address() + " 1 ready"));
            await(() -> call(0, "/look/probe-" + name, "probe").statusCode() == 200);
            assertEquals(502, call(0, "/look/poison", "poison-" + crash).statusCode());
            target.close();
            await(() -> call(0, "/look/after-" + name, "after").statusCode() == 503);
            assertEquals(200, announce(1, name, target.address() + " 2 leaving"));
        }
        target = new ScriptedTarget(COMPLETE_RESPONSE, COMPLETE_RESPONSE, COMPLETE_RESPONSE);
        assertEquals(200, announce(1, "t-4", target.address() + " 1 ready"));
        await(() -> call(0, "/look/1", "probe").statusCode() == 200);
        Thread.sleep(2_200);
        assertEquals(503, call(0, "/look/poison", "poison-4").statusCode());
        assertEquals(503, call(1, "/look/poison", "poison-5").statusCode());
        assertEquals(200, call(0, "/look/2", "other").statusCode());
        assertEquals(2, target.requests().size());
    }

    @Test
    void callerDisconnectCancelsItsRequest() throws Exception {
        startReachableTarget("SILENT");
        target.answerAlways("id-3", COMPLETE_RESPONSE);
        try (Socket socket = new Socket(
                LoopbackAddresses.host(), settings.get(0).callerAddress().getPort())) {
            write(socket, "/wait/2", "id-2", 10_000);
            await(() -> target.requests().size() == 1);
        }
        await(() -> call(0, "/look/3", "id-3").statusCode() == 200);
        assertNotEquals(target.portOf("id-2"), target.portOf("id-3"), "the cancelled connection is reused");
    }

    @Test
    void requestSentWhileRequestWithBodyIsServedIsAnswered() throws Exception {
        startTarget(COMPLETE_RESPONSE, COMPLETE_RESPONSE, COMPLETE_RESPONSE);
        awaitTargetReachable();
        try (Socket socket = new Socket(
                LoopbackAddresses.host(), settings.get(0).callerAddress().getPort())) {
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
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        startTarget(COMPLETE_RESPONSE, COMPLETE_RESPONSE, COMPLETE_RESPONSE);
        awaitTargetReachable();
        try (Socket socket = new Socket(
                LoopbackAddresses.host(), settings.get(0).callerAddress().getPort())) {
            write(socket, "/look/2", "id-2");
            write(socket, "/look/3", "id-3");
            assertEquals(200, RawResponse.read(socket.getInputStream()).statusCode());
            assertEquals(200, RawResponse.read(socket.getInputStream()).statusCode());
        }
    }

    @Test
    void configurationChangeReachesNodeWithoutStoreAccess() throws Exception {
        await(() -> call(0, "/v1/", "id").statusCode() == 503);
        platform.commit(2);
        await(() -> call(0, "/v2/", "id").statusCode() == 503
                && call(1, "/v2/", "id").statusCode() == 503);
        platform.setDown(true);
        Thread.sleep(100);
        platform.commit(3);
        await(() -> call(0, "/v3/", "id").statusCode() == 503);
        assertEquals(404, call(0, "/v2/", "id").statusCode(), "the previous version is no longer active");
    }

    @Test
    void configurationChangeDuringStoreOutageTakesEffectAfterIt() throws Exception {
        await(() -> call(0, "/v1/", "id").statusCode() == 503);
        platform.setDown(true);
        otherPlatformClient.setDown(true);
        Thread.sleep(100);
        platform.commit(2);
        Thread.sleep(300);
        assertEquals(404, call(0, "/v2/", "id").statusCode());
        assertEquals(503, call(0, "/v1/", "id").statusCode());
        platform.setDown(false);
        otherPlatformClient.setDown(false);
        await(() -> call(0, "/v2/", "id").statusCode() == 503);
    }

    @Test
    void drainingNodeIsNotReadyAndAnswersWithConnectionClose() throws Exception {
        InetSocketAddress readiness = settings.get(0).readinessAddress();
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
