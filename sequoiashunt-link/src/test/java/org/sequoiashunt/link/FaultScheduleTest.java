package org.sequoiashunt.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Outcome;
import org.sequoiashunt.link.LinkCounters.Count;
import org.sequoiashunt.link.wire.FrameProto.Frame;
import org.sequoiashunt.link.wire.FrameProto.Freshness;
import org.sequoiashunt.time.SteppedClock;

/**
 * Runs client and gate side of the protocol under random schedules, to find calls that run twice or are wrongly
 * reported as not run. Connections are lost while frames are in transit, which arrive later or never; gates restart;
 * deadlines pass, and cancellations and results occur at any step.
 */
class FaultScheduleTest {

    private static final int SCHEDULES = 1_500;
    private static final int STEPS = 250;

    @Test
    void callsRunAtMostOnceAndNotRunResultsAreCorrect() throws LinkProtocolException {
        LinkCounters counters = new LinkCounters();
        for (int seed = 0; seed < SCHEDULES; seed++) {
            new Schedule(seed, counters).run();
        }
        assertTrue(counters.read(Count.CALLS_RESUMED) > SCHEDULES);
        assertTrue(counters.read(Refusal.REVOKED) > SCHEDULES);
        assertTrue(counters.read(Refusal.STALE) > SCHEDULES);
    }

    /** Schedule of random steps of a client, a gate, and the connections between them. */
    private static final class Schedule {
        private final int seed;
        private final RandomGenerator random;
        private final SteppedClock clientClock = SteppedClock.of(5_000_000);
        private final SteppedClock gateClock = SteppedClock.of(1_000);
        private final LinkCounters counters;
        private final LinkCalls linkCalls;
        private final InFlightCalls inFlightCalls;
        private final List<InFlightCall> addedCalls = new ArrayList<>();
        private final Map<String, Integer> runCounts = new HashMap<>();
        private final List<Run> running = new ArrayList<>();
        private final List<Connection> connections = new ArrayList<>();
        private long incarnation;
        private ServedCalls gate;
        private Connection currentConnection;

        private Schedule(final int seed, final LinkCounters counters) {
            this.seed = seed;
            this.counters = counters;
            this.linkCalls = new LinkCalls(LinkLimits.standard(), clientClock, counters);
            this.inFlightCalls = linkCalls.inFlight();
            this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        }

        private void run() throws LinkProtocolException {
            restartGate();
            reconnect();
            for (int step = 0; step < STEPS; step++) {
                performRandomStep();
            }
            for (Connection connection : connections) {
                while (!connection.toGate.isEmpty()) {
                    deliverToGate(connection);
                }
            }
            addedCalls.forEach(this::checkResult);
        }

        private void performRandomStep() throws LinkProtocolException {
            switch (random.nextInt(20)) {
                case 0, 1 -> addCall();
                case 2, 3, 4 -> sendWaiting();
                case 5, 6, 7, 8 -> deliverToGate(currentConnection);
                case 9 -> deliverToGate(connections.get(random.nextInt(connections.size())));
                case 10, 11, 12, 13 -> deliverToClient();
                case 14, 15 -> endRun();
                case 16, 17 -> advanceClocks();
                case 18 -> reconnect();
                default -> performRareStep();
            }
        }

        private void performRareStep() {
            int choice = random.nextInt(6);
            if (choice == 0) {
                restartGate();
            } else if (choice == 1 && !addedCalls.isEmpty()) {
                cancel(addedCalls.get(random.nextInt(addedCalls.size())));
            }
        }

        private void addCall() {
            String callId = "call-" + addedCalls.size();
            long deadlineMs = clientClock.nowMs() + 100 + random.nextInt(4_000);
            CallRequest request = LinkFixture.requestUntil(callId, deadlineMs, Body.EMPTY);
            addedCalls.add(inFlightCalls
                    .add(request, new CompletableFuture<>(), clientClock.nowMs())
                    .orElseThrow());
        }

        private void sendWaiting() {
            Optional<InFlightCall> next = inFlightCalls.nextWaiting();
            if (next.isPresent() && inFlightCalls.markSent(next.get(), currentConnection.peer)) {
                InFlightCall call = next.get();
                Freshness freshness = Freshness.newBuilder()
                        .setStamp(currentConnection.stampMs)
                        .setStampAgeMs(clientClock.nowMs() - currentConnection.stampReceivedMs)
                        .setRemainingMs(remainingMs(call))
                        .build();
                currentConnection.toGate.add(
                        FrameFactory.of(CallCodec.encode(call.number(), call.request(), freshness)));
            }
        }

        private void deliverToGate(final Connection connection) throws LinkProtocolException {
            if (connection.toGate.isEmpty()) {
                return;
            }
            Frame frame = connection.toGate.remove(0);
            if (connection.gate != gate) {
                return;
            }
            ResultReceiver receiver = (number, callId, result) ->
                    connection.toClient.add(FrameFactory.of(CallCodec.encode(number, callId, result)));
            switch (frame.getContentCase()) {
                case CALL_START -> gate.start(frame.getCallStart(), receiver);
                case CALL_QUERY ->
                    gate.query(frame.getCallQuery(), receiver)
                            .ifPresent(state -> connection.toClient.add(FrameFactory.of(state)));
                default -> gate.cancel(frame.getCallCancel());
            }
        }

        private void deliverToClient() throws LinkProtocolException {
            if (currentConnection.toClient.isEmpty()) {
                return;
            }
            Frame frame = currentConnection.toClient.remove(0);
            if (frame.hasCallEnd()) {
                linkCalls.receive(frame.getCallEnd());
            } else {
                linkCalls.receive(frame.getCallState());
            }
        }

        private void endRun() {
            if (!running.isEmpty()) {
                Run run = running.remove(random.nextInt(running.size()));
                run.future.complete(LinkFixture.answer(Body.of(run.callId.getBytes())));
            }
        }

        private void advanceClocks() {
            long stepMs = random.nextInt(random.nextInt(10) == 0 ? 2_000 : 200);
            clientClock.advance(stepMs);
            gateClock.advance(stepMs);
            inFlightCalls.expire(clientClock.nowMs()).forEach(this::sendCancel);
            gate.expire();
        }

        private void reconnect() {
            inFlightCalls.markSentCallsLost(clientClock.nowMs());
            currentConnection = new Connection(
                    gate,
                    new LinkIdentity("gate", incarnation),
                    gateClock.nowMs(),
                    clientClock.nowMs(),
                    new ArrayList<>(),
                    new ArrayList<>());
            connections.add(currentConnection);
            for (InFlightCall call : inFlightCalls.connectionOpened(currentConnection.peer)) {
                currentConnection.toGate.add(
                        FrameFactory.query(call.number(), call.request().callId(), remainingMs(call), false));
            }
        }

        private void restartGate() {
            incarnation++;
            running.clear();
            gate = new ServedCalls(this::handle, LinkLimits.standard(), gateClock, counters);
        }

        private CompletableFuture<CallResult> handle(final CallRequest request) {
            Run run = new Run(request.callId(), new CompletableFuture<>());
            runCounts.merge(run.callId, 1, Integer::sum);
            running.add(run);
            return run.future;
        }

        private void cancel(final InFlightCall call) {
            if (inFlightCalls.remove(call)) {
                sendCancel(call);
            }
        }

        private void sendCancel(final InFlightCall call) {
            currentConnection.toGate.add(FrameFactory.cancel(call.request().callId(), remainingMs(call)));
        }

        private long remainingMs(final InFlightCall call) {
            return Math.max(0, call.request().deadlineMs() - clientClock.nowMs());
        }

        private void checkResult(final InFlightCall call) {
            String callId = call.request().callId();
            int runCount = runCounts.getOrDefault(callId, 0);
            String callDescription = callId + " of schedule " + seed;
            assertTrue(runCount <= 1, callDescription);
            CallResult result = call.future().getNow(null);
            if (result != null && result.outcome() == Outcome.NOT_RUN) {
                assertEquals(0, runCount, callDescription);
            }
            if (result != null && result.outcome() == Outcome.COMPLETE) {
                assertEquals(1, runCount, callDescription);
                assertEquals(LinkFixture.answer(Body.of(callId.getBytes())), result, callDescription);
            }
        }
    }

    /** Connection with the frames in transit. */
    private record Connection(
            ServedCalls gate,
            LinkIdentity peer,
            long stampMs,
            long stampReceivedMs,
            List<Frame> toGate,
            List<Frame> toClient) {}

    /** Execution of a call at the gate. */
    private record Run(String callId, CompletableFuture<CallResult> future) {}
}
