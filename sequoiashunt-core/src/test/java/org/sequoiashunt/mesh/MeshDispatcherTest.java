package org.sequoiashunt.mesh;

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
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.GateCaller;
import org.sequoiashunt.call.Outcome;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.dispatch.CallIdGenerator;
import org.sequoiashunt.fleet.FleetView;
import org.sequoiashunt.fleet.NodeReport;
import org.sequoiashunt.fleet.TargetReport;
import org.sequoiashunt.limit.SlidingWindowRetryBudget;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.placement.NodeLocation;
import org.sequoiashunt.placement.Placement;
import org.sequoiashunt.placement.PlacementCandidate;
import org.sequoiashunt.placement.PlacementCandidateSource;
import org.sequoiashunt.time.SteppedClock;

@Timeout(10)
class MeshDispatcherTest {

    private static final double LINK_MBPS = 8;

    private final SteppedClock clock = SteppedClock.of(1_000);
    private final FleetView fleet = new FleetView(clock);
    private final List<CallRequest> sentRequests = new ArrayList<>();
    private final List<CompletableFuture<CallResult>> attemptResults = new ArrayList<>();
    private final List<String> withdrawnCallIds = new ArrayList<>();
    private final List<Runnable> expiryTasks = new ArrayList<>();
    private final SlidingWindowRetryBudget retryBudget =
            new SlidingWindowRetryBudget(clock, new SlidingWindowRetryBudget.Bounds(0.2, 30, 10_000), () -> 1);
    private long sequence = 1;
    private int load;
    private int failurePermille;
    private double repeatedRunShare;
    private Runnable duringCall = () -> {};
    private long quarantineMs;
    private MeshDispatcher dispatcher;
    private Optional<MeshConfiguration> configuration = Optional.of(configuration());

    /** The retry budget takes its part of the allowance only after the time in which nodes find each other. */
    @BeforeEach
    void knowOtherNodes() {
        clock.advance(2_000);
    }

    private static MeshConfiguration configuration() {
        MeshRoute lookup = new MeshRoute(
                "lookup",
                "h",
                "/l/",
                List.of(new WeightedService("desk", 1)),
                RequestKind.IDEMPOTENT,
                1_000,
                400,
                2,
                2,
                false,
                Set.of());
        MeshRoute reserve = new MeshRoute(
                "reserve",
                "h",
                "/r/",
                List.of(new WeightedService("desk", 1)),
                RequestKind.NON_IDEMPOTENT,
                1_000,
                400,
                1,
                2,
                false,
                Set.of());
        MeshRoute scan = new MeshRoute(
                "scan",
                "h",
                "/s/",
                List.of(new WeightedService("desk", 1)),
                RequestKind.DOWNLOAD,
                4_000,
                800,
                1,
                2,
                false,
                Set.of());
        return MeshConfiguration.of(3, List.of(lookup, reserve, scan), Set.of("desk"), CallerLimits.defaults());
    }

    private MeshDispatcher dispatcher() {
        if (dispatcher == null) {
            dispatcher = newDispatcher();
        }
        return dispatcher;
    }

    private MeshDispatcher newDispatcher() {
        for (int node = 1; node <= 3; node++) {
            TargetReport target =
                    new TargetReport("t" + node, "desk", "v1", 4, true, load, 0, 50, failurePermille, 0, List.of(), 0);
            fleet.accept(new NodeReport(
                    "n" + node,
                    1,
                    sequence,
                    new NodeAddress("10.0.0." + node, 7),
                    "d",
                    "r",
                    600,
                    false,
                    3,
                    OptionalLong.empty(),
                    List.of(target),
                    List.of(),
                    List.of(),
                    List.of(),
                    List.of(),
                    List.of(),
                    false));
        }
        NodeLocation location = new NodeLocation("self", new NodeAddress("10.0.0.9", 7), "d", "r");
        return new MeshDispatcher(
                new MeshDispatcher.Dependencies(
                        clock,
                        (delayMs, task) -> {
                            expiryTasks.add(task);
                            return () -> expiryTasks.remove(task);
                        },
                        () -> configuration,
                        new WeightedServiceSelector(new Random(1)),
                        new MeshVersionSelector(new MoveTable(clock), new Random(1)),
                        new PlacementCandidateSource(location, fleet, service -> List.of(), clock),
                        new Placement(new Random(1)),
                        retryBudget,
                        new RecordingGateCaller(),
                        new CallIdGenerator("self", 1),
                        service -> repeatedRunShare,
                        (service, call) -> quarantineMs,
                        new NoOpObserver()),
                LINK_MBPS);
    }

    private CompletableFuture<CallResult> dispatch(final String path) {
        MeshRoute route = dispatcher().match("h", path).route().orElseThrow();
        return dispatcher()
                .dispatch(
                        new MeshCall("id", "GET", path, List.of(), Body.EMPTY, clock.nowMs(), clock.nowMs() + 5_000),
                        route);
    }

    private static CallResult answerWithStatus(final int status) {
        return CallResult.complete(new CallResponse(status, List.of(), Body.EMPTY));
    }

    private void endAttempt(final int attempt, final CallResult result) {
        attemptResults.get(attempt).complete(result);
    }

    @Test
    void passesOnTheEarlierDeadline() {
        dispatch("/l/1");
        assertEquals(clock.nowMs() + 1_000, sentRequests.get(0).deadlineMs(), "the route's timeout");
        assertEquals(2, sentRequests.get(0).urgency().rank());
    }

    /** A first attempt may wait for a slot; a repeated request whose objective has passed is refused at once. */
    @Test
    void repeatedRequestPastItsObjectiveDoesNotWaitForASlot() {
        load = 4;
        for (int request = 0; request < 40; request++) {
            dispatch("/l/1");
            attemptResults
                    .get(attemptResults.size() - 1)
                    .complete(answerWithStatus(200).withLoad(4));
        }
        int sentBefore = sentRequests.size();
        assertEquals(40, sentBefore, "first attempts wait");
        MeshRoute route = dispatcher().match("h", "/l/1").route().orElseThrow();
        long nowMs = clock.nowMs();
        CompletableFuture<CallResult> late = dispatcher()
                .dispatch(new MeshCall("id", "GET", "/l/1", List.of(), Body.EMPTY, nowMs, nowMs + 4_000), route);
        assertEquals(Reason.QUEUE_FULL, late.getNow(null).reason());
        assertEquals(sentBefore, sentRequests.size());
    }

    /** Guards against downloads whose transfer begins when there is no time left for it. */
    @Test
    void targetOfADownloadMustAnswerEarlierByTheTransferOfTheAnswer() {
        dispatch("/s/1");
        endAttempt(0, CallResult.complete(new CallResponse(200, List.of(), Body.of(new byte[99_400]))));
        dispatch("/s/2");
        long withoutTransferMs = sentRequests.get(0).urgency().objectiveMs();
        assertEquals(withoutTransferMs - 100, sentRequests.get(1).urgency().objectiveMs(), "100 kB at 8 Mbit/s");
        dispatch("/l/1");
        endAttempt(2, CallResult.complete(new CallResponse(200, List.of(), Body.of(new byte[99_400]))));
        dispatch("/l/2");
        assertEquals(
                sentRequests.get(2).urgency().objectiveMs(),
                sentRequests.get(3).urgency().objectiveMs(),
                "a route without large bodies");
    }

    /** Guards against requests that wait for their deadline at a target that has stopped answering. */
    @Test
    void requestGivenUpByItsGateIsSentToAnotherTargetWithinTheBudget() {
        CompletableFuture<CallResult> result = dispatch("/l/1");
        endAttempt(0, CallResult.unknown(Reason.UNRESPONSIVE));
        assertEquals(2, sentRequests.size());
        assertTrue(sentRequests.get(1).repeated(), "its gate does not give it up again");
        endAttempt(1, answerWithStatus(200));
        assertEquals(200, result.getNow(null).response().orElseThrow().status());
        for (int retry = 0; retry < 40; retry++) {
            retryBudget.tryRetry("desk");
        }
        CompletableFuture<CallResult> refused = dispatch("/l/2");
        endAttempt(2, CallResult.unknown(Reason.UNRESPONSIVE));
        assertEquals(CallResult.unknown(Reason.UNRESPONSIVE), refused.getNow(null));
        assertEquals(3, sentRequests.size());
    }

    /** If a service that all targets call fails, all targets fail; a retry would only repeat the calls to it. */
    @Test
    void failedRunIsRetriedOnlyIfTargetsSeldomFail() {
        dispatch("/l/1");
        endAttempt(0, answerWithStatus(500));
        assertEquals(2, sentRequests.size(), "one target fails");
        dispatcher = null;
        failurePermille = 400;
        sequence++;
        CompletableFuture<CallResult> result = dispatch("/l/2");
        endAttempt(2, answerWithStatus(500));
        assertEquals(3, sentRequests.size(), "all targets fail");
        assertEquals(500, result.getNow(null).response().orElseThrow().status());
    }

    @Test
    void requestShedByTargetIsRetriedEvenIfTargetsOftenFail() {
        failurePermille = 400;
        dispatch("/l/1");
        endAttempt(0, CallResult.notRun(Reason.SHED));
        assertEquals(2, sentRequests.size());
    }

    /**
     * A whole service sheds half of its requests: the runs that call it fail and are repeated, and each repeated run
     * calls it again. Those calls arrive beyond the first of each request as well, whatever their node decides.
     */
    @Test
    void callsOfRepeatedRunsSpendTheBudgetOfTheServiceTheyCall() {
        assertEquals(48, countRetriesOfShedRequests(), 2, "the usual budget");
        clock.advance(20_000);
        sequence++;
        dispatcher = null;
        repeatedRunShare = 0.5;
        assertTrue(countRetriesOfShedRequests() <= 15, "none once the calls of repeated runs have spent the budget");
    }

    private int countRetriesOfShedRequests() {
        int retried = 0;
        for (int request = 0; request < 200; request++) {
            int sentBefore = sentRequests.size();
            dispatch("/l/" + request);
            endAttempt(sentBefore, CallResult.notRun(Reason.SHED));
            if (sentRequests.size() > sentBefore + 1) {
                retried++;
                endAttempt(sentBefore + 1, answerWithStatus(200));
            }
        }
        return retried;
    }

    @Test
    void secondAttemptIsMarkedAsRepeatedOnceTheFirstHasReachedATarget() {
        dispatch("/l/1");
        endAttempt(0, CallResult.notRun(Reason.QUEUE_FULL));
        endAttempt(1, answerWithStatus(500));
        assertEquals(
                List.of(false, false, true),
                sentRequests.stream().map(CallRequest::repeated).toList());
    }

    @Test
    void gateRefusalIsRetriedWithoutSpendingTheBudget() {
        CompletableFuture<CallResult> result = dispatch("/r/1");
        endAttempt(0, CallResult.notRun(Reason.QUEUE_FULL).withExpectedWait(70));
        endAttempt(1, CallResult.notRun(Reason.QUEUE_FULL).withExpectedWait(30));
        assertEquals(Outcome.NOT_RUN, result.getNow(null).outcome());
        assertEquals(30, result.getNow(null).expectedWaitMs());
        assertEquals(
                2, sentRequests.stream().map(CallRequest::target).distinct().count());
        int remainingBudget = 0;
        while (retryBudget.tryRetry("desk")) {
            remainingBudget++;
        }
        assertEquals(21, remainingBudget);
    }

    @Test
    void requestToFullServiceIsRefusedWithoutSending() {
        load = 60;
        CompletableFuture<CallResult> result = dispatch("/l/1");
        assertEquals(Reason.QUEUE_FULL, result.getNow(null).reason());
        assertTrue(result.getNow(null).expectedWaitMs() > 0);
        assertEquals(0, sentRequests.size());
    }

    @Test
    void nextRequestSkipsGateThatReportedItIsFull() {
        dispatch("/l/1");
        clock.advance(1);
        endAttempt(0, CallResult.notRun(Reason.QUEUE_FULL).withLoad(70).withExpectedWait(800));
        endAttempt(1, CallResult.notRun(Reason.QUEUE_FULL).withLoad(70).withExpectedWait(800));
        CompletableFuture<CallResult> next = dispatch("/l/2");
        assertEquals(3, sentRequests.size(), "only the third gate is tried");
        endAttempt(2, CallResult.notRun(Reason.QUEUE_FULL).withLoad(70).withExpectedWait(800));
        assertEquals(Reason.QUEUE_FULL, next.getNow(null).reason());
        assertEquals(3, sentRequests.size());
    }

    @Test
    void requestThatMayHaveRunIsResentOnlyIfIdempotent() {
        CompletableFuture<CallResult> nonIdempotent = dispatch("/r/1");
        endAttempt(0, CallResult.unknown(Reason.CONNECTION_FAILED));
        assertEquals(Outcome.UNKNOWN, nonIdempotent.getNow(null).outcome());
        assertEquals(1, sentRequests.size());
        CompletableFuture<CallResult> idempotent = dispatch("/l/1");
        endAttempt(1, CallResult.unknown(Reason.CONNECTION_FAILED));
        endAttempt(2, answerWithStatus(200));
        assertEquals(200, idempotent.getNow(null).response().orElseThrow().status());
    }

    @Test
    void attemptsStayWithinTheRouteMaximum() {
        CompletableFuture<CallResult> result = dispatch("/l/1");
        endAttempt(0, answerWithStatus(500));
        endAttempt(1, answerWithStatus(500));
        assertEquals(500, result.getNow(null).response().orElseThrow().status(), "the target's own answer");
        assertEquals(2, sentRequests.size());
    }

    @Test
    void gateRefusalsAfterPossibleRunEndAsUnknown() {
        CompletableFuture<CallResult> result = dispatch("/l/1");
        endAttempt(0, CallResult.unknown(Reason.CONNECTION_FAILED));
        endAttempt(1, CallResult.notRun(Reason.QUEUE_FULL));
        endAttempt(2, CallResult.notRun(Reason.QUEUE_FULL));
        assertEquals(Outcome.UNKNOWN, result.getNow(null).outcome());
    }

    @Test
    void failedAnswerIsReturnedIfBudgetIsSpent() {
        for (int retry = 0; retry < 40; retry++) {
            retryBudget.tryRetry("desk");
        }
        CompletableFuture<CallResult> result = dispatch("/l/1");
        endAttempt(0, answerWithStatus(500));
        assertEquals(500, result.getNow(null).response().orElseThrow().status());
        assertEquals(1, sentRequests.size());
    }

    @Test
    void timeoutEndsRunningRequestAsUnknown() {
        CompletableFuture<CallResult> result = dispatch("/r/1");
        expiryTasks.get(0).run();
        assertEquals(Reason.DEADLINE, result.getNow(null).reason());
        assertEquals(Outcome.UNKNOWN, result.getNow(null).outcome());
        assertTrue(attemptResults.get(0).isCancelled());
    }

    @Test
    void cancellationCancelsTheAttempt() {
        dispatch("/l/1").cancel(true);
        assertTrue(attemptResults.get(0).isCancelled());
        assertEquals(1, sentRequests.size());
    }

    /** Guards against requests that are accepted during a planned stop and cut at its end. */
    @Test
    void requestThatWouldOutlastTheStopIsRefusedAtOnce() {
        dispatcher().drain(clock.nowMs() + 60);
        assertFalse(dispatch("/r/1").isDone());
        clock.advance(20);
        CompletableFuture<CallResult> late = dispatch("/r/2");
        assertEquals(CallResult.notRun(Reason.DRAINING), late.getNow(null));
        assertEquals(1, sentRequests.size());
    }

    /** Guards against requests that wait at a gate while their node stops: they must be answered before. */
    @Test
    void waitingRequestIsWithdrawnBeforeTheStop() {
        CompletableFuture<CallResult> waiting = dispatch("/r/1");
        CompletableFuture<CallResult> running = dispatch("/r/2");
        long stopMs = clock.nowMs() + 1_000;
        dispatcher().drain(stopMs);
        assertEquals(List.of(), withdrawnCallIds);
        clock.advance(800);
        dispatcher().drain(stopMs);
        dispatcher().drain(stopMs);
        assertEquals(Set.of(sentRequests.get(0).callId(), sentRequests.get(1).callId()), Set.copyOf(withdrawnCallIds));
        assertEquals(2, withdrawnCallIds.size(), "each attempt is withdrawn once");
        clock.advance(190);
        endAttempt(0, CallResult.notRun(Reason.DRAINING));
        assertEquals(CallResult.notRun(Reason.DRAINING), waiting.getNow(null));
        assertFalse(running.isDone());
        dispatcher().stop();
        assertEquals(CallResult.unknown(Reason.DRAINING), running.getNow(null));
        assertEquals(CallResult.notRun(Reason.DRAINING), dispatch("/r/3").getNow(null));
        assertEquals(2, sentRequests.size());
    }

    /** Guards against a request that misses its withdrawal, since it came while the request was being sent. */
    @Test
    void requestIsWithdrawnOnlyOnceItIsSent() {
        long stopMs = clock.nowMs() + 200;
        duringCall = () -> dispatcher().drain(stopMs);
        dispatch("/r/1");
        assertEquals(List.of(), withdrawnCallIds);
        dispatcher().drain(stopMs);
        assertEquals(List.of(sentRequests.get(0).callId()), withdrawnCallIds);
    }

    /** Guards against a request that crashes targets and is sent on each time it comes. */
    @Test
    void quarantinedRequestIsRefusedWithoutSending() {
        quarantineMs = 7_000;
        CompletableFuture<CallResult> result = dispatch("/l/1");
        assertEquals(CallResult.notRun(Reason.QUARANTINED).withExpectedWait(7_000), result.getNow(null));
        assertEquals(0, sentRequests.size());
    }

    @Test
    void requestThatAGateQuarantinesIsNotSentToAnotherOne() {
        CompletableFuture<CallResult> refused = dispatch("/l/1");
        endAttempt(0, CallResult.notRun(Reason.QUARANTINED));
        assertEquals(Reason.QUARANTINED, refused.getNow(null).reason());
        CompletableFuture<CallResult> ran = dispatch("/l/1");
        endAttempt(1, CallResult.unknown(Reason.CONNECTION_FAILED));
        endAttempt(2, CallResult.notRun(Reason.QUARANTINED));
        assertEquals(Outcome.UNKNOWN, ran.getNow(null).outcome(), "the first attempt may have run");
        assertEquals(3, sentRequests.size());
    }

    @Test
    void missingConfigurationIsReportedAsNotReady() {
        configuration = Optional.empty();
        assertEquals(Reason.NOT_READY, dispatcher().match("h", "/l/1").refusal());
        configuration = Optional.of(configuration());
        assertEquals(Reason.NO_ROUTE, dispatcher().match("h", "/x/").refusal());
        assertFalse(dispatcher().match("h", "/x/").route().isPresent());
    }

    /** Records the calls and withdrawals; the tests end the calls. */
    private final class RecordingGateCaller implements GateCaller {

        @Override
        public CompletableFuture<CallResult> call(final NodeAddress gateAddress, final CallRequest request) {
            duringCall.run();
            sentRequests.add(request);
            CompletableFuture<CallResult> call = new CompletableFuture<>();
            attemptResults.add(call);
            return call;
        }

        @Override
        public void withdrawCall(final NodeAddress gateAddress, final String callId) {
            withdrawnCallIds.add(callId);
        }
    }

    /** Observer that does nothing. */
    private static final class NoOpObserver implements DispatchObserver {

        @Override
        public void attemptWithdrawn(final MeshCall call, final MeshRoute route, final PlacementCandidate candidate) {}

        @Override
        public void targetChosen(
                final MeshCall call, final MeshRoute route, final PlacementCandidate candidate, final int attempt) {}

        @Override
        public void attemptEnded(
                final MeshCall call,
                final MeshRoute route,
                final PlacementCandidate candidate,
                final CallResult result) {}
    }
}
