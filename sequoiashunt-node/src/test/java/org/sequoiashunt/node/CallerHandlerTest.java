package org.sequoiashunt.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
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
import org.sequoiashunt.memory.LoopbackAddresses;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.routing.Candidate;
import org.sequoiashunt.routing.RoutingTable;
import org.sequoiashunt.routing.TargetSelector;
import org.sequoiashunt.time.Clock;

@Timeout(30)
class CallerHandlerTest {

    private static final int MAXIMUM_BODY_BYTES = 100;
    private static final String PATH_AND_HEADERS = " /plates HTTP/1.1\r\nHost: desk\r\nConnection: close\r\n";

    private final Timers timers = new Timers();
    private NodeAddress address;
    private HttpListener listener;

    @BeforeEach
    void open() throws IOException {
        address = LoopbackAddresses.next();
        CallerHandler handler = new CallerHandler(
                dispatcher(),
                CallerAdmission.withDefaultLimits(),
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
    void answersACompleteRequest() throws IOException {
        assertTrue(sendAndReadResponse("GET" + PATH_AND_HEADERS + "\r\n").startsWith("HTTP/1.1 200 "));
    }

    @Test
    void refusesADeclaredLengthAboveTheMaximum() throws IOException {
        String answer = sendAndReadResponse("POST" + PATH_AND_HEADERS + "Content-Length: 101\r\n\r\n");
        assertTrue(answer.startsWith("HTTP/1.1 413 "), answer);
        assertTrue(answer.contains("Sequoiashunt-Outcome: not-run"), answer);
        answersACompleteRequest();
    }

    @Test
    void refusesAChunkedBodyAboveTheMaximum() throws IOException {
        String chunk = "64\r\n" + "x".repeat(100) + "\r\n";
        String answer = sendAndReadResponse(
                "POST" + PATH_AND_HEADERS + "Transfer-Encoding: chunked\r\n\r\n" + chunk + chunk + "0\r\n\r\n");
        assertTrue(answer.isEmpty() || answer.startsWith("HTTP/1.1 413 "), answer);
        answersACompleteRequest();
    }

    @Test
    void rejectsAMalformedHeaderAndNamesIt() throws IOException {
        String answer = sendAndReadResponse("GET" + PATH_AND_HEADERS + "Sequoiashunt-Timeout-Ms: soon\r\n\r\n");
        assertTrue(answer.startsWith("HTTP/1.1 400 "), answer);
        assertTrue(answer.contains("Sequoiashunt-Timeout-Ms must be a whole number"), answer);
    }

    @Test
    void rejectsTwoIdempotencyKeys() throws IOException {
        String answer =
                sendAndReadResponse("POST" + PATH_AND_HEADERS + "Idempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n");
        assertTrue(answer.startsWith("HTTP/1.1 400 "), answer);
    }

    @Test
    void rejectsInvalidHttpAndServesTheNextRequest() throws IOException {
        String answer = sendAndReadResponse("\u0001\u0002 nonsense\r\n\r\n");
        assertTrue(answer.isEmpty() || answer.startsWith("HTTP/1.1 400 "), answer);
        answersACompleteRequest();
    }

    @Test
    void closesTheConnectionOfATruncatedRequestWithoutAResponse() throws IOException {
        assertEquals("", sendAndReadResponse("POST" + PATH_AND_HEADERS + "Content-Length: 50\r\n\r\nhalf"));
        answersACompleteRequest();
    }

    /** Sends a text, shuts the output down and reads the response until the connection is closed. */
    private String sendAndReadResponse(final String text) throws IOException {
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
