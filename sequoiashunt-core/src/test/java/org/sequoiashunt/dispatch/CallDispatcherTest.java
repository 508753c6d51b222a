package org.sequoiashunt.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Outcome;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.configuration.Route;
import org.sequoiashunt.configuration.ServiceConfiguration;
import org.sequoiashunt.execution.ClaimService;
import org.sequoiashunt.execution.CrashTracker;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.routing.Candidate;
import org.sequoiashunt.routing.RoutingTable;
import org.sequoiashunt.routing.TargetSelector;
import org.sequoiashunt.time.SteppedClock;

class CallDispatcherTest {

    private static final CallResult ANSWER = CallResult.complete(new CallResponse(200, List.of(), Body.EMPTY));

    private final SteppedClock clock = SteppedClock.of(1_000);
    private final List<CallRequest> sent = new ArrayList<>();
    private final List<CompletableFuture<CallResult>> attempts = new ArrayList<>();
    private final List<CallResult> recorded = new ArrayList<>();
    private CompletableFuture<Optional<CallResult>> claim = CompletableFuture.completedFuture(Optional.empty());
    private boolean lapsed;
    private RoutingTable table = RoutingTable.of(3, List.of(service()));

    private final CallDispatcher dispatcher = new CallDispatcher(new CallDispatcher.Dependencies(
            clock,
            () -> table,
            service -> List.of(service.version()),
            (service, version) -> List.of(candidate("one"), candidate("two"), candidate("three"), candidate("four")),
            new TargetSelector("a", "north", clock, new Random(3)),
            (gate, request) -> {
                sent.add(request);
                CompletableFuture<CallResult> attempt = new CompletableFuture<>();
                attempts.add(attempt);
                return attempt;
            },
            new FakeClaims(),
            new CallIdGenerator("node", 1),
            (candidate, request, result, durationMs) -> {}));

    @Test
    void refusesBeforeAConfigurationIsInForce() {
        table = RoutingTable.EMPTY;
        assertEquals(Reason.NOT_READY, dispatcher.dispatch(lookup()).join().reason());
    }

    @Test
    void refusedCallWithUncheckedKeyHasUnknownOutcome() {
        assertEquals(
                Outcome.UNKNOWN,
                dispatcher.dispatch(call("PUT", "/plates", "k")).join().outcome());
        table = RoutingTable.EMPTY;
        assertEquals(Outcome.UNKNOWN, dispatcher.dispatch(reserve("k")).join().outcome());
        assertEquals(Outcome.NOT_RUN, dispatcher.dispatch(reserve(null)).join().outcome());
    }

    @Test
    void refusesCallThatMatchesNoRoute() {
        assertEquals(
                Reason.NO_ROUTE,
                dispatcher.dispatch(call("PUT", "/plates", null)).join().reason());
        assertEquals(
                Reason.NO_ROUTE,
                dispatcher.dispatch(call("GET", "/platesextra", null)).join().reason());
    }

    @Test
    void triesAnotherTargetWhenTheFirstDidNotRunTheCall() {
        CompletableFuture<CallResult> result = dispatcher.dispatch(reserve(null));
        attempts.get(0).complete(CallResult.notRun(Reason.DRAINING));
        attempts.get(1).complete(ANSWER);
        assertEquals(Outcome.COMPLETE, result.join().outcome());
        assertFalse(sent.get(0).target().equals(sent.get(1).target()));
        assertFalse(sent.get(0).callId().equals(sent.get(1).callId()));
    }

    @Test
    void neverRepeatsANonIdempotentCallThatMayHaveRun() {
        CompletableFuture<CallResult> result = dispatcher.dispatch(reserve(null));
        attempts.get(0).complete(CallResult.unknown(Reason.CONNECTION_FAILED));
        assertEquals(Outcome.UNKNOWN, result.join().outcome());
        assertEquals(1, sent.size());
    }

    @Test
    void repeatsAnIdempotentCallThatMayHaveRun() {
        CompletableFuture<CallResult> result = dispatcher.dispatch(lookup());
        attempts.get(0).complete(CallResult.unknown(Reason.CONNECTION_FAILED));
        attempts.get(1).complete(ANSWER);
        assertEquals(Outcome.COMPLETE, result.join().outcome());
    }

    @Test
    void retriesCallInterruptedByCrashOnceAndMarksIt() {
        CompletableFuture<CallResult> result = dispatcher.dispatch(lookup());
        attempts.get(0).complete(CallResult.unknown(Reason.CONNECTION_FAILED));
        attempts.get(1).complete(CallResult.unknown(Reason.CONNECTION_FAILED));
        assertEquals(Outcome.UNKNOWN, result.join().outcome());
        assertEquals(2, sent.size());
        assertEquals(CrashTracker.SUSPECT_HEADER, sent.get(1).headers().get(0).name());
    }

    @Test
    void laterRefusalDoesNotHideThatAnEarlierAttemptMayHaveRun() {
        CompletableFuture<CallResult> result = dispatcher.dispatch(lookup());
        attempts.get(0).complete(CallResult.unknown(Reason.CONNECTION_FAILED));
        attempts.get(1).complete(CallResult.notRun(Reason.QUEUE_FULL));
        attempts.get(2).complete(CallResult.notRun(Reason.QUEUE_FULL));
        assertEquals(Outcome.UNKNOWN, result.join().outcome());
    }

    @Test
    void startsNoAttemptAfterTheDeadline() {
        CompletableFuture<CallResult> result = dispatcher.dispatch(lookup());
        clock.advance(2_000);
        attempts.get(0).complete(CallResult.notRun(Reason.QUEUE_FULL));
        assertEquals(Outcome.NOT_RUN, result.join().outcome());
        assertEquals(1, sent.size());
    }

    @Test
    void callersTimeoutShortensTheDeadlineOnly() {
        dispatcher.dispatch(withTimeout(50));
        dispatcher.dispatch(withTimeout(50_000));
        assertEquals(1_050, sent.get(0).deadlineMs());
        assertEquals(3_000, sent.get(1).deadlineMs());
    }

    @Test
    void claimsTheKeyBeforeDispatchAndRecordsTheEnd() {
        claim = new CompletableFuture<>();
        CompletableFuture<CallResult> result = dispatcher.dispatch(reserve("k"));
        assertEquals(0, sent.size());
        claim.complete(Optional.empty());
        attempts.get(0).complete(ANSWER);
        assertEquals(Outcome.COMPLETE, result.join().outcome());
        assertEquals(List.of(ANSWER), recorded);
    }

    @Test
    void dispatchesNothingWhenTheClaimComesAfterTheDeadline() {
        claim = new CompletableFuture<>();
        CompletableFuture<CallResult> result = dispatcher.dispatch(reserve("k"));
        clock.advance(2_000);
        claim.complete(Optional.empty());
        assertEquals(CallResult.unknown(Reason.DEADLINE), result.join());
        assertEquals(List.of(CallResult.notRun(Reason.DEADLINE)), recorded);
        assertEquals(0, sent.size());
    }

    @Test
    void dispatchesNothingWhenTheClaimHasLapsed() {
        lapsed = true;
        CallResult told = dispatcher.dispatch(reserve("k")).join();
        assertEquals(CallResult.unknown(Reason.DEADLINE), told);
        assertEquals(List.of(CallResult.notRun(Reason.DEADLINE)), recorded);
        assertEquals(0, sent.size());
    }

    @Test
    void returnsRecordedResultOfEarlierCallWithoutDispatch() {
        claim = CompletableFuture.completedFuture(Optional.of(ANSWER));
        assertEquals(ANSWER, dispatcher.dispatch(reserve("k")).join());
        assertEquals(0, sent.size());
        assertEquals(List.of(), recorded);
    }

    @Test
    void cancellingTheCallCancelsTheAttempt() {
        CompletableFuture<CallResult> result = dispatcher.dispatch(lookup());
        result.cancel(true);
        assertTrue(attempts.get(0).isCancelled());
        assertEquals(1, sent.size());
    }

    private static ServiceConfiguration service() {
        return new ServiceConfiguration(
                "desk",
                "v1",
                Optional.empty(),
                List.of(
                        new Route("lookup", "/plates", Set.of("GET"), true, 2_000),
                        new Route("reserve", "/plates", Set.of("POST"), false, 2_000)),
                List.of());
    }

    private static IncomingCall lookup() {
        return call("GET", "/plates/1", null);
    }

    private static IncomingCall reserve(final String key) {
        return call("POST", "/plates", key);
    }

    private static IncomingCall call(final String method, final String path, final String key) {
        return new IncomingCall(
                "desk", method, path, path, List.of(), Body.EMPTY, Optional.ofNullable(key), OptionalLong.empty());
    }

    private static IncomingCall withTimeout(final long timeoutMs) {
        return new IncomingCall(
                "desk",
                "GET",
                "/plates",
                "/plates",
                List.of(),
                Body.EMPTY,
                Optional.empty(),
                OptionalLong.of(timeoutMs));
    }

    private static Candidate candidate(final String node) {
        return new Candidate(node, new NodeAddress("127.0.0.1", 80), "a", "north", "t-" + node, "v1", 2);
    }

    /** Gives the claim prepared by the test. */
    private final class FakeClaims implements ClaimService {

        @Override
        public CompletableFuture<Optional<CallResult>> claim(
                final String service, final String key, final String attempt, final long deadlineMs) {
            return claim;
        }

        @Override
        public boolean beginDispatch(final String service, final String key, final String attempt) {
            return !lapsed;
        }

        @Override
        public void record(final String service, final String key, final String attempt, final CallResult result) {
            recorded.add(result);
        }
    }
}
