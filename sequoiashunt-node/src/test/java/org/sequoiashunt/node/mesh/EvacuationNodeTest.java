package org.sequoiashunt.node.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sequoiashunt.memory.LoopbackAddresses;

/** Tests the evacuation of a failure domain with two running nodes, of which only the second has a target. */
@Timeout(40)
class EvacuationNodeTest {

    /** Time in which an order is in force; the bound that users set is longer. */
    private static final long IN_FORCE_MS = 2_000;

    private final FakePlatform platform = new FakePlatform();
    private final HttpClient client = HttpClient.newHttpClient();
    private final List<MeshSettings> settings = List.of(MeshNodeTest.settings("north"), MeshNodeTest.settings("south"));
    private final List<MeshNode> nodes = new ArrayList<>();
    private ScriptedTarget target;
    private int sequence;

    @AfterEach
    void close() throws Exception {
        for (MeshNode node : nodes) {
            node.close();
        }
        target.close();
    }

    private void announce() throws Exception {
        sequence++;
        InetSocketAddress address = settings.get(1).announcementAddress();
        String body = target.address() + " " + sequence + " ready";
        client.send(
                HttpRequest.newBuilder(
                                URI.create("http://" + address.getHostString() + ":" + address.getPort() + "/t-1"))
                        .PUT(HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    private int status(final int node) throws Exception {
        try (Socket socket = new Socket(
                LoopbackAddresses.host(), settings.get(node).callerAddress().getPort())) {
            String text = "GET /look/1 HTTP/1.1\r\nHost: desk\r\nRequest-Id: x\r\nLeft-Ms: 1000\r\n\r\n";
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            return RawResponse.read(socket.getInputStream()).statusCode();
        }
    }

    private void awaitStatus(final int expected, final int node, final long limitMs) throws Exception {
        long endNanos = System.nanoTime() + limitMs * 1_000_000;
        while (status(node) != expected) {
            assertTrue(System.nanoTime() < endNanos, "no status " + expected + " at node " + node);
            Thread.sleep(20);
            announce();
        }
    }

    /** Guards against calls that reach an evacuated failure domain, also through a node that has just started. */
    @Test
    void nothingReachesTheTargetsOfAnEvacuatedFailureDomain() throws Exception {
        target = new ScriptedTarget(Collections.nCopies(
                        2_000, "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nSignature: s\r\nContent-Length: 0\r\n\r\n")
                .toArray(String[]::new));
        nodes.add(MeshNodeTest.open(settings.get(0), platform));
        nodes.add(MeshNodeTest.open(settings.get(1), platform.newClient()));
        announce();
        awaitStatus(200, 0, 10_000);
        platform.setEvacuated("d-south", true);
        awaitStatus(503, 0, IN_FORCE_MS);
        awaitStatus(503, 1, IN_FORCE_MS);
        int before = target.requests().size();
        nodes.remove(1).close();
        nodes.add(MeshNodeTest.open(settings.get(1), platform.newClient()));
        for (int request = 0; request < 50; request++) {
            announce();
            assertEquals(503, status(request % 2));
            Thread.sleep(20);
        }
        assertEquals(before, target.requests().size(), "no request reached the target");
        platform.setEvacuated("d-south", false);
        awaitStatus(200, 1, IN_FORCE_MS);
        awaitStatus(200, 0, IN_FORCE_MS);
    }
}
