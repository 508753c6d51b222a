package org.sequoiashunt.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.commit.SystemClock;
import org.sequoiashunt.configuration.Route;
import org.sequoiashunt.configuration.ServiceConfiguration;
import org.sequoiashunt.dispatch.CallDispatcher;
import org.sequoiashunt.dispatch.CallIdGenerator;
import org.sequoiashunt.execution.ClaimService;
import org.sequoiashunt.http.Timers;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.routing.Candidate;
import org.sequoiashunt.routing.RoutingTable;
import org.sequoiashunt.routing.TargetSelector;
import org.sequoiashunt.time.Clock;

@Timeout(30)
class CallerHandlerTest {

    private static final int MAXIMUM_BODY_BYTES = 100;
    private static final String HEAD = " /plates HTTP/1.1\r\nHost: desk\r\nConnection: close\r\n";

    private final Timers timers = new Timers();
    private NodeAddress address;
    private HttpListener listener;

    @BeforeEach
    void open() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = new NodeAddress("127.0.0.1", free.getLocalPort());
        }
        CallerHandler handler = new CallerHandler(
                dispatcher(),
                CallerAdmission.standard(),
                new CallMetrics(new MetricRegistry()),
                timers,
                MAXIMUM_BODY_BYTES);
        listener = HttpListener.open("callers", address, handler);
    }

    @AfterEach
    void close() {
        listener.close();
        timers.close();
    }

    @Test
    void servesARequest() throws IOException {
        assertTrue(exchange("GET" + HEAD + "\r\n").startsWith("HTTP/1.1 200 "));
    }

    @Test
    void refusesABodyBeyondTheBoundBeforeItArrives() throws IOException {
        String answer = exchange("POST" + HEAD + "Content-Length: 101\r\n\r\n");
        assertTrue(answer.startsWith("HTTP/1.1 413 "), answer);
        assertTrue(answer.contains("Sequoiashunt-Outcome: not-run"), answer);
        servesARequest();
    }

    @Test
    void refusesChunksBeyondTheBound() throws IOException {
        String chunk = "64\r\n" + "x".repeat(100) + "\r\n";
        String answer = exchange("POST" + HEAD + "Transfer-Encoding: chunked\r\n\r\n" + chunk + chunk + "0\r\n\r\n");
        assertTrue(answer.isEmpty() || answer.startsWith("HTTP/1.1 413 "), answer);
        servesARequest();
    }

    @Test
    void namesAMalformedHeader() throws IOException {
        String answer = exchange("GET" + HEAD + "Sequoiashunt-Timeout-Ms: soon\r\n\r\n");
        assertTrue(answer.startsWith("HTTP/1.1 400 "), answer);
        assertTrue(answer.contains("Sequoiashunt-Timeout-Ms must be a whole number"), answer);
    }

    @Test
    void refusesTwoKeys() throws IOException {
        String answer = exchange("POST" + HEAD + "Idempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n");
        assertTrue(answer.startsWith("HTTP/1.1 400 "), answer);
    }

    @Test
    void closesWhatIsNotHttpAndServesOthers() throws IOException {
        String answer = exchange("\u0001\u0002 nonsense\r\n\r\n");
        assertTrue(answer.isEmpty() || answer.startsWith("HTTP/1.1 400 "), answer);
        servesARequest();
    }

    @Test
    void answersNothingToARequestThatIsCut() throws IOException {
        assertEquals("", exchange("POST" + HEAD + "Content-Length: 50\r\n\r\nhalf"));
        servesARequest();
    }

    /** Sends a text, ends the output, and reads until the end. */
    private String exchange(final String text) throws IOException {
        try (Socket socket = new Socket(address.host(), address.port())) {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            socket.shutdownOutput();
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    private static CallDispatcher dispatcher() {
        Clock clock = SystemClock.start();
        Route route = new Route("all", "/plates", Set.of("GET", "POST"), true, 2_000);
        ServiceConfiguration desk = new ServiceConfiguration("desk", "v1", Optional.empty(), List.of(route), List.of());
        RoutingTable table = RoutingTable.of(1, List.of(desk));
        Candidate candidate = new Candidate("n", new NodeAddress("127.0.0.1", 1), "a", "north", "t", "v1", 2);
        CallResult answer = CallResult.complete(new CallResponse(200, List.of(), Body.EMPTY));
        return new CallDispatcher(new CallDispatcher.Dependencies(
                clock,
                () -> table,
                service -> List.of("v1"),
                (service, version) -> List.of(candidate),
                new TargetSelector("a", "north", clock, new Random(1)),
                (gate, request) -> CompletableFuture.completedFuture(answer),
                new NoClaims(),
                new CallIdGenerator("n", 1),
                (target, request, result, durationMs) -> {}));
    }

    /** Grants every claim. */
    private static final class NoClaims implements ClaimService {

        @Override
        public CompletableFuture<Optional<CallResult>> claim(
                final String service, final String key, final String attempt, final long deadlineMs) {
            return CompletableFuture.completedFuture(Optional.empty());
        }

        @Override
        public void record(final String service, final String key, final String attempt, final CallResult result) {}
    }
}
