package org.sequoiashunt.node.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.HeaderField;
import org.sequoiashunt.call.Outcome;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.commit.SystemClock;
import org.sequoiashunt.link.LinkThreads;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.time.Clock;

/**
 * Random test: only the whole answer of its own run ends a call to a target that cuts, joins and repeats answers.
 *
 * <p>The system property {@value #SEEDS_PROPERTY} sets the number of seeds.
 */
class StutteringTargetTest {

    private static final String SEEDS_PROPERTY = "stuttering.seeds";
    private static final int DEFAULT_SEEDS = 5;

    private static final int CALLERS = 8;
    private static final int CALLS_PER_CALLER = 20;
    private static final int SHARED_IDENTITIES = 5;
    private static final long REMAINING_MS = 120;
    private static final long LATEST_END_MS = 3_000;
    private static final long WARM_UP_TIMEOUT_MS = 30_000;
    private static final int LONGEST_CANCEL_DELAY_MS = 15;
    private static final int PRINTED_VIOLATIONS = 3;

    private final Clock clock = SystemClock.start();

    /**
     * A call that ended with what is not the whole answer of its own run.
     *
     * @param kind how it ended.
     * @param successForFailure whether it ended with a success where the answer that is due was a failure.
     * @param bytesHeld whether bytes that are no whole answer were written before the target read the request.
     * @param seed the seed.
     * @param attempt the attempt.
     * @param seen the result.
     * @param transcript what was written on the connection.
     */
    private record Violation(
            AnswerViolation kind,
            boolean successForFailure,
            boolean bytesHeld,
            long seed,
            int attempt,
            String seen,
            String transcript) {

        String label() {
            return kind + (successForFailure ? " as success" : "") + (bytesHeld ? " after held bytes" : "");
        }

        @Override
        public String toString() {
            return label() + ", seed " + seed + ", attempt " + attempt + ", seen: " + seen
                    + "\nwritten on its connection:" + transcript;
        }
    }

    /** A call and its result, which is empty if the call was cancelled or has not ended in time. */
    private record EndedCall(int attempt, String identity, Optional<CallResult> result, boolean late) {}

    static LongStream seeds() {
        return LongStream.rangeClosed(1, Integer.getInteger(SEEDS_PROPERTY, DEFAULT_SEEDS));
    }

    private static NettyTargetCaller createCaller(final LinkThreads threads, final Clock clock) {
        return NettyTargetCaller.create(
                threads.callLoop(), StutteringTarget.HEADER_NAMES, clock, TargetConnectionObserver.NONE);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    @Timeout(60)
    void onlyWholeAnswerOfItsRunEndsCall(final long seed) throws Exception {
        LinkThreads threads = LinkThreads.startSingle();
        NettyTargetCaller caller = createCaller(threads, clock);
        StutteringTarget target = new StutteringTarget(seed);
        List<EndedCall> calls;
        try {
            warmUp(caller, target.address());
            calls = callConcurrently(caller, target.address(), seed);
        } finally {
            caller.close();
            target.close();
            threads.close();
        }
        assertEquals(List.of(), target.failures());
        Map<Integer, List<StutteringTarget.Run>> runs = target.runsByAttempt();
        List<Violation> violations = new ArrayList<>();
        calls.forEach(call ->
                check(call, runs.getOrDefault(call.attempt(), List.of()), seed).ifPresent(violations::add));
        System.out.println(summary(seed, calls, runs, target.connectionCount(), violations));
        assertTrue(violations.isEmpty(), () -> describe(violations));
    }

    /** Loads the classes of a call, so that no measured call waits for them. */
    private void warmUp(final NettyTargetCaller caller, final NodeAddress target) throws Exception {
        caller.call(target, request(0, "warm-up", "")).get(WARM_UP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private List<EndedCall> callConcurrently(final NettyTargetCaller caller, final NodeAddress target, final long seed)
            throws Exception {
        ExecutorService executor = Executors.newFixedThreadPool(CALLERS);
        try {
            List<Future<List<EndedCall>>> results = new ArrayList<>();
            for (int index = 0; index < CALLERS; index++) {
                int firstAttempt = 1 + index * CALLS_PER_CALLER;
                results.add(executor.submit(() -> callInSequence(caller, target, seed, firstAttempt)));
            }
            List<EndedCall> calls = new ArrayList<>();
            for (Future<List<EndedCall>> result : results) {
                calls.addAll(result.get());
            }
            return calls;
        } finally {
            executor.shutdownNow();
        }
    }

    private List<EndedCall> callInSequence(
            final NettyTargetCaller caller, final NodeAddress target, final long seed, final int firstAttempt)
            throws Exception {
        List<EndedCall> calls = new ArrayList<>();
        Random random = new Random(seed * CALLS_PER_CALLER + firstAttempt);
        for (int attempt = firstAttempt; attempt < firstAttempt + CALLS_PER_CALLER; attempt++) {
            String identity = random.nextInt(10) < 6 ? "id-" + attempt : "shared-" + random.nextInt(SHARED_IDENTITIES);
            String body = random.nextBoolean() ? "" : "plate";
            CompletableFuture<CallResult> call = caller.call(target, request(attempt, identity, body));
            if (random.nextInt(20) == 0) {
                Thread.sleep(random.nextInt(LONGEST_CANCEL_DELAY_MS));
                call.cancel(true);
                calls.add(new EndedCall(attempt, identity, Optional.empty(), false));
            } else {
                calls.add(await(call, attempt, identity));
            }
        }
        return calls;
    }

    private static EndedCall await(final CompletableFuture<CallResult> call, final int attempt, final String identity)
            throws Exception {
        try {
            CallResult result = call.get(REMAINING_MS + LATEST_END_MS, TimeUnit.MILLISECONDS);
            return new EndedCall(attempt, identity, Optional.of(result), false);
        } catch (TimeoutException exception) {
            return new EndedCall(attempt, identity, Optional.empty(), true);
        }
    }

    private CallRequest request(final int attempt, final String identity, final String body) {
        return new CallRequest(
                "call-" + attempt,
                "desk",
                "lookup",
                "v1",
                "i-1",
                body.isEmpty() ? "GET" : "POST",
                "/plates/1",
                List.of(
                        new HeaderField("Host", "desk.example"),
                        new HeaderField("Request-Id", identity),
                        new HeaderField(StutteringTarget.ATTEMPT_FIELD, Integer.toString(attempt)),
                        new HeaderField("Caller", "kiosk")),
                Body.of(TargetAnswer.encode(body)),
                true,
                Optional.empty(),
                clock.nowMs() + REMAINING_MS);
    }

    private static Optional<Violation> check(
            final EndedCall call, final List<StutteringTarget.Run> runs, final long seed) {
        Optional<AnswerViolation> kind =
                runs.size() > 1 ? Optional.of(AnswerViolation.SENT_TOO_OFTEN) : kindOf(call, runs);
        return kind.map(each -> new Violation(
                each,
                isSuccessForFailure(call, runs),
                runs.stream().anyMatch(StutteringTarget.Run::bytesHeld),
                seed,
                call.attempt(),
                call.result().map(StutteringTargetTest::textOf).orElse("no result"),
                runs.stream().map(StutteringTarget.Run::transcript).reduce("", String::concat)));
    }

    private static boolean isSuccessForFailure(final EndedCall call, final List<StutteringTarget.Run> runs) {
        Optional<CallResponse> response = call.result().flatMap(CallResult::response);
        return response.isPresent()
                && !runs.isEmpty()
                && AnswerViolation.isSuccessForFailure(response.get(), runs.get(0));
    }

    private static Optional<AnswerViolation> kindOf(final EndedCall call, final List<StutteringTarget.Run> runs) {
        if (call.late()) {
            return Optional.of(AnswerViolation.ENDED_LATE);
        }
        Outcome outcome = call.result().map(CallResult::outcome).orElse(Outcome.UNKNOWN);
        if (outcome == Outcome.COMPLETE) {
            return runs.isEmpty()
                    ? Optional.of(AnswerViolation.ANSWER_WITHOUT_RUN)
                    : AnswerViolation.ofAnswer(
                            call.result().orElseThrow().response().orElseThrow(), runs.get(0), Set.of());
        }
        if (outcome == Outcome.NOT_RUN && !runs.isEmpty()) {
            return AnswerViolation.ofPromise(runs.get(0));
        }
        return Optional.empty();
    }

    private static String textOf(final CallResult result) {
        return result.outcome() + " " + result.reason()
                + result.response()
                        .map(response -> " " + response.status() + " " + response.headers() + " "
                                + StutteringTarget.escape(
                                        new String(response.body().bytes(), StandardCharsets.ISO_8859_1)))
                        .orElse("");
    }

    private static String summary(
            final long seed,
            final List<EndedCall> calls,
            final Map<Integer, List<StutteringTarget.Run>> runs,
            final int connections,
            final List<Violation> violations) {
        int clean = 0;
        int lost = 0;
        int lostAtDeadline = 0;
        Map<Outcome, Integer> outcomes = new EnumMap<>(Outcome.class);
        for (EndedCall call : calls) {
            call.result().ifPresent(result -> outcomes.merge(result.outcome(), 1, Integer::sum));
            List<StutteringTarget.Run> ownRuns = runs.getOrDefault(call.attempt(), List.of());
            if (call.result().isPresent()
                    && !ownRuns.isEmpty()
                    && ownRuns.get(0).undisturbed()) {
                clean++;
                CallResult result = call.result().orElseThrow();
                lost += result.outcome() == Outcome.UNKNOWN ? 1 : 0;
                lostAtDeadline += result.reason() == Reason.DEADLINE ? 1 : 0;
            }
        }
        return "seed " + seed + ": " + calls.size() + " calls " + outcomes + ", " + connections + " connections, "
                + lost + " of " + clean + " clean answers lost (" + lostAtDeadline + " at the deadline), violations "
                + countByLabel(violations);
    }

    private static Map<String, Integer> countByLabel(final List<Violation> violations) {
        Map<String, Integer> counts = new TreeMap<>();
        violations.forEach(violation -> counts.merge(violation.label(), 1, Integer::sum));
        return counts;
    }

    private static String describe(final List<Violation> violations) {
        StringBuilder text = new StringBuilder(countByLabel(violations).toString());
        violations.stream()
                .limit(PRINTED_VIOLATIONS)
                .forEach(violation -> text.append('\n').append(violation));
        return text.toString();
    }
}
