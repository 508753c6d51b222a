package org.sequoiashunt.pipeline;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.HeaderField;
import org.sequoiashunt.mesh.MeshCall;
import org.sequoiashunt.mesh.MeshRoute;
import org.sequoiashunt.mesh.RequestKind;
import org.sequoiashunt.mesh.WeightedService;
import org.sequoiashunt.organisation.Organisation;

class ReadAheadCallsTest {

    private static final MeshRoute READ = route("read", RequestKind.IDEMPOTENT);
    private static final MeshRoute BOOK = route("book", RequestKind.NON_IDEMPOTENT);
    private static final MeshRoute SCAN = route("scan", RequestKind.DOWNLOAD);

    private final ReadAheadBudget budget = new ReadAheadBudget(10, 1_000);
    private final Map<ReadAheadCalls.Step, Integer> steps = new EnumMap<>(ReadAheadCalls.Step.class);
    private final ReadAheadCalls calls =
            new ReadAheadCalls(budget, (route, step) -> steps.merge(step, 1, Integer::sum));
    private final List<String> dispatched = new ArrayList<>();
    private final List<CompletableFuture<CallResult>> results = new ArrayList<>();

    private final ReadAheadCalls.Dispatcher dispatcher = new ReadAheadCalls.Dispatcher() {
        @Override
        public Optional<ReadAheadCalls.Request> prepare(final RequestHead head) {
            String id = head.fields().get(1).value();
            MeshRoute route =
                    head.path().startsWith("/book") ? BOOK : head.path().startsWith("/scan") ? SCAN : READ;
            return id.equals("unknown") ? Optional.empty() : Optional.of(request(id, head.uri(), route));
        }

        @Override
        public CompletableFuture<CallResult> dispatch(final ReadAheadCalls.Request request) {
            dispatched.add(request.call().requestId());
            results.add(new CompletableFuture<>());
            return results.get(results.size() - 1);
        }
    };

    private static MeshRoute route(final String name, final RequestKind kind) {
        List<WeightedService> services = List.of(new WeightedService("desk", 1));
        return new MeshRoute(
                name, "desk", "/" + name + "/", services, kind, 1_500, 500, 1, 2, false, java.util.Set.of());
    }

    private static ReadAheadCalls.Request request(final String id, final String uri, final MeshRoute route) {
        return new ReadAheadCalls.Request(
                new MeshCall(id, "GET", uri, List.of(new HeaderField("A", "b")), Body.of(new byte[0]), 0, 1_000),
                route);
    }

    private static String head(final String path, final String id) {
        return "GET " + path + " HTTP/1.1\r\nHost: desk\r\nRequest-Id: " + id + "\r\n\r\n";
    }

    private void advance(final String text) {
        calls.advance(text.getBytes(StandardCharsets.ISO_8859_1), 8_192, dispatcher);
    }

    private void assertSteps(final int read, final int used, final int discarded) {
        assertEquals(read, steps.getOrDefault(ReadAheadCalls.Step.READ, 0));
        assertEquals(used, steps.getOrDefault(ReadAheadCalls.Step.USED, 0));
        assertEquals(discarded, steps.getOrDefault(ReadAheadCalls.Step.DISCARDED, 0));
        assertEquals(read - used - discarded, budget.calls());
    }

    /** Guards against a request that runs twice when its head arrives in parts or is seen again. */
    @Test
    void eachRequestIsDispatchedOnceAndTakenInOrder() {
        String first = head("/read/1", "r-1");
        String second = head("/read/2", "r-2");
        advance(first + second.substring(0, 20));
        advance(first + second);
        advance(first + second);
        assertEquals(List.of("r-1", "r-2"), dispatched);
        calls.begin("r-1");
        assertSame(
                results.get(0),
                calls.take(request("r-1", "/read/1", READ)).orElseThrow().result());
        assertTrue(calls.take(request("r-1", "/read/1", READ)).isEmpty(), "a call is taken once");
        advance(second + head("/read/3", "r-3"));
        assertEquals(List.of("r-1", "r-2", "r-3"), dispatched);
        assertSteps(3, 1, 0);
    }

    /** Guards against requests that overtake one that changes state, and large results held in memory. */
    @Test
    void nothingRunsAheadBehindARequestThatMayNot() {
        for (String stopping : List.of(head("/book/1", "b"), head("/scan/1", "s"), head("/read/1", "unknown"), "x")) {
            advance(stopping + head("/read/2", "r-2"));
        }
        assertEquals(List.of(), dispatched);
    }

    @Test
    void callsAreBoundedPerConnectionAndTogether() {
        StringBuilder text = new StringBuilder();
        for (int index = 0; index < 20; index++) {
            text.append(head("/read/" + index, "r-" + index));
        }
        advance(text.toString());
        assertEquals(ReadAheadCalls.MAXIMUM_CALLS, dispatched.size());
        new ReadAheadCalls(budget, (route, step) -> {})
                .advance(text.toString().getBytes(StandardCharsets.ISO_8859_1), 8_192, dispatcher);
        assertEquals(10, dispatched.size());
    }

    /** Guards against results for a caller, route or request other than the one that is reached. */
    @Test
    void callThatDiffersFromTheReachedRequestIsDiscarded() {
        MeshCall same = request("r-1", "/read/1", READ).call();
        Optional<Organisation> organisation =
                Optional.of(new Organisation("o", java.util.OptionalInt.empty(), Optional.empty(), java.util.Set.of()));
        List<ReadAheadCalls.Request> others = List.of(
                request("r-1", "/read/2", READ),
                request("r-1", "/read/1", BOOK),
                new ReadAheadCalls.Request(with(same, "POST", same.headers(), new byte[0], Optional.empty()), READ),
                new ReadAheadCalls.Request(with(same, "GET", List.of(), new byte[0], Optional.empty()), READ),
                new ReadAheadCalls.Request(with(same, "GET", same.headers(), new byte[1], Optional.empty()), READ),
                new ReadAheadCalls.Request(with(same, "GET", same.headers(), new byte[0], organisation), READ));
        for (ReadAheadCalls.Request other : others) {
            advance(head("/read/1", "r-1"));
            calls.begin("r-1");
            assertTrue(calls.take(other).isEmpty(), other.toString());
            calls.begin(null);
        }
        assertTrue(results.stream().allMatch(CompletableFuture::isCancelled));
        assertSteps(others.size(), 0, others.size());
    }

    private static MeshCall with(
            final MeshCall call,
            final String method,
            final List<HeaderField> headers,
            final byte[] body,
            final Optional<Organisation> organisation) {
        return new MeshCall(
                call.requestId(), method, call.uri(), headers, Body.of(body), organisation, 0, 0, call.deadlineMs());
    }

    /** Guards against results that fill the memory of a small node while they wait for their turn. */
    @Test
    void nothingRunsAheadWhileKeptResultsAreLarge() {
        advance(head("/read/1", "r-1"));
        results.get(0).complete(CallResult.complete(new CallResponse(200, List.of(), Body.of(new byte[1_000]))));
        advance(head("/read/1", "r-1") + head("/read/2", "r-2"));
        assertEquals(List.of("r-1"), dispatched);
        calls.begin("r-1");
        calls.take(request("r-1", "/read/1", READ)).orElseThrow();
        advance(head("/read/2", "r-2"));
        assertEquals(List.of("r-1", "r-2"), dispatched);
        calls.close();
        results.get(1).complete(CallResult.complete(new CallResponse(200, List.of(), Body.of(new byte[1_000]))));
        new ReadAheadCalls(budget, (route, step) -> {})
                .advance(head("/read/3", "r-3").getBytes(StandardCharsets.ISO_8859_1), 8_192, dispatcher);
        assertEquals(3, dispatched.size(), "bytes of a discarded call are not counted");
    }

    @Test
    void unexpectedRequestCancelsAllCalls() {
        advance(head("/read/1", "r-1") + head("/read/2", "r-2"));
        calls.begin("r-2");
        assertTrue(calls.take(request("r-2", "/read/2", READ)).isEmpty());
        assertTrue(results.stream().allMatch(CompletableFuture::isCancelled));
        assertSteps(2, 0, 2);
    }

    @Test
    void closedConnectionCancelsItsCallsAndRunsNoMore() {
        advance(head("/read/1", "r-1") + head("/read/2", "r-2") + head("/read/3", "r-3"));
        calls.begin("r-1");
        calls.take(request("r-1", "/read/1", READ)).orElseThrow();
        calls.begin("r-2");
        calls.close();
        advance(head("/read/4", "r-4"));
        assertFalse(results.get(0).isCancelled(), "the exchange cancels the call that it took");
        assertTrue(results.get(1).isCancelled() && results.get(2).isCancelled());
        assertSteps(3, 1, 2);
    }
}
