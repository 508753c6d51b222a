package org.sequoiashunt.node.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Random test of two nodes, one of which has a target that cuts, joins and repeats its answers: callers get the whole
 * answer of a run of their request, or a status that fits what became of it.
 *
 * <p>The system property {@value #SEEDS_PROPERTY} sets the number of seeds.
 */
class StutteringTargetNodeTest {

    private static final String SEEDS_PROPERTY = "stuttering.node.seeds";
    private static final int DEFAULT_SEEDS = 2;
    private static final int CALLERS_PER_NODE = 3;
    private static final int REQUESTS_PER_CALLER = 25;
    private static final int SHARED_IDENTITIES = 4;
    private static final int REMAINING_MS = 400;
    private static final int LATEST_END_MS = 4_000;
    private static final int LONGEST_STAY_MS = 15;
    private static final int ANNOUNCEMENT_PERIOD_MS = 200;
    private static final int START_TIMEOUT_MS = 10_000;
    private static final int PRINTED_VIOLATIONS = 3;
    private static final int MOST_RUNS = 4;
    private static final Set<String> FIELDS_OF_NODES =
            Set.of("Connection", "Keep-Alive", "Content-Length", "Transfer-Encoding", "Date");
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    private final FakePlatform platform = new FakePlatform();
    private final List<MeshSettings> settings = List.of(MeshNodeTest.settings("north"), MeshNodeTest.settings("south"));

    /** A request and its answer, which is empty if there is none; the violation is what the caller alone can tell. */
    private record EndedRequest(int attempt, Optional<CallResponse> response, Optional<AnswerViolation> violation) {}

    private record Violation(
            AnswerViolation kind, boolean successForFailure, EndedRequest request, List<StutteringTarget.Run> runs) {

        String label() {
            return kind + (successForFailure ? " as success" : "");
        }

        @Override
        public String toString() {
            StringBuilder text = new StringBuilder(label()).append(", attempt ").append(request.attempt());
            request.response()
                    .ifPresent(response -> text.append(", seen: ")
                            .append(response.status())
                            .append(' ')
                            .append(response.headers())
                            .append(' ')
                            .append(StutteringTarget.escape(
                                    TargetAnswer.decode(response.body().bytes()))));
            runs.forEach(run ->
                    text.append("\nwritten on the connection of its run:").append(run.transcript()));
            return text.toString();
        }
    }

    static LongStream seeds() {
        return LongStream.rangeClosed(1, Integer.getInteger(SEEDS_PROPERTY, DEFAULT_SEEDS));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    @Timeout(120)
    void callersGetOnlyWholeAnswersOfTheirRequests(final long seed) throws Exception {
        StutteringTarget target = new StutteringTarget(seed);
        List<EndedRequest> requests = new ArrayList<>();
        try (MeshNode north = MeshNodeTest.open(settings.get(0), platform);
                MeshNode south = MeshNodeTest.open(settings.get(1), platform.newClient())) {
            Thread announcements = startAnnouncing(target.address());
            try {
                awaitTargetReachable();
                requests.addAll(requestConcurrently(seed));
            } finally {
                announcements.interrupt();
                announcements.join();
            }
        } finally {
            target.close();
        }
        assertEquals(List.of(), target.failures());
        Map<Integer, List<StutteringTarget.Run>> runs = target.runsByAttempt();
        List<Violation> violations = new ArrayList<>();
        for (EndedRequest request : requests) {
            List<StutteringTarget.Run> ownRuns = runs.getOrDefault(request.attempt(), List.of());
            kindOf(request, ownRuns)
                    .ifPresent(kind -> violations.add(
                            new Violation(kind, isSuccessForFailure(request, ownRuns), request, ownRuns)));
        }
        System.out.println(summary(seed, requests, runs, violations));
        assertTrue(violations.isEmpty(), () -> describe(seed, violations));
    }

    private Thread startAnnouncing(final NodeAddress target) {
        HttpClient client = HttpClient.newHttpClient();
        InetSocketAddress address = settings.get(1).announcementAddress();
        URI uri = URI.create("http://" + address.getHostString() + ":" + address.getPort() + "/t-1");
        Thread thread = new Thread(() -> {
            try {
                for (int sequence = 1; true; sequence++) {
                    HttpRequest.BodyPublisher body =
                            HttpRequest.BodyPublishers.ofString(target + " " + sequence + " ready");
                    client.send(HttpRequest.newBuilder(uri).PUT(body).build(), HttpResponse.BodyHandlers.discarding());
                    Thread.sleep(ANNOUNCEMENT_PERIOD_MS);
                }
            } catch (InterruptedException | IOException exception) {
                // The test has ended; without announcements it would fail as no target is reachable.
                return;
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void awaitTargetReachable() throws Exception {
        long endNanos = System.nanoTime() + START_TIMEOUT_MS * 1_000_000L;
        for (MeshSettings node : settings) {
            boolean reachable = false;
            while (!reachable) {
                assertTrue(System.nanoTime() < endNanos, "the target is not reachable in time");
                Thread.sleep(20);
                EndedRequest probe = new Caller(node, new Random()).send(0, "probe", "/look/probe");
                reachable = probe.response()
                        .map(response -> !AnswerViolation.valuesOf(response, StutteringTarget.HEADER_NAMES.signature())
                                .isEmpty())
                        .orElse(false);
            }
        }
    }

    private List<EndedRequest> requestConcurrently(final long seed) throws Exception {
        ExecutorService executor = Executors.newCachedThreadPool();
        try {
            List<Future<List<EndedRequest>>> results = new ArrayList<>();
            for (int index = 0; index < CALLERS_PER_NODE * settings.size(); index++) {
                int firstAttempt = 1 + index * REQUESTS_PER_CALLER;
                Caller caller = new Caller(
                        settings.get(index % settings.size()), new Random(seed * REQUESTS_PER_CALLER + firstAttempt));
                results.add(executor.submit(() -> caller.sendInSequence(firstAttempt)));
            }
            List<EndedRequest> requests = new ArrayList<>();
            for (Future<List<EndedRequest>> result : results) {
                requests.addAll(result.get());
            }
            return requests;
        } finally {
            executor.shutdownNow();
        }
    }

    /** A caller of one node with one kept connection. Confined to one thread. */
    private static final class Caller {

        private final NodeAddress address;
        private final Random random;
        private StrictHttpClient connection;

        Caller(final MeshSettings node, final Random random) {
            this.address = new NodeAddress(
                    node.callerAddress().getHostString(), node.callerAddress().getPort());
            this.random = random;
        }

        List<EndedRequest> sendInSequence(final int firstAttempt) throws IOException, InterruptedException {
            List<EndedRequest> requests = new ArrayList<>();
            for (int attempt = firstAttempt; attempt < firstAttempt + REQUESTS_PER_CALLER; attempt++) {
                String identity =
                        random.nextBoolean() ? "id-" + attempt : "shared-" + random.nextInt(SHARED_IDENTITIES);
                String path = (random.nextInt(4) == 0 ? "/slow/" : "/look/") + attempt;
                if (random.nextInt(20) == 0) {
                    write(attempt, identity, path);
                    Thread.sleep(random.nextInt(LONGEST_STAY_MS));
                    disconnect();
                } else {
                    requests.add(send(attempt, identity, path));
                }
            }
            disconnect();
            return requests;
        }

        private void disconnect() throws IOException {
            if (connection != null) {
                connection.close();
                connection = null;
            }
        }

        private void write(final int attempt, final String identity, final String path) throws IOException {
            if (connection == null) {
                connection = new StrictHttpClient(address, REMAINING_MS + LATEST_END_MS);
            }
            connection.write("GET " + path + " HTTP/1.1\r\nHost: desk\r\nRequest-Id: " + identity + "\r\nLeft-Ms: "
                    + REMAINING_MS + "\r\n" + StutteringTarget.ATTEMPT_FIELD + ": " + attempt + "\r\n\r\n");
        }

        EndedRequest send(final int attempt, final String identity, final String path) throws IOException {
            Optional<AnswerViolation> violation = Optional.empty();
            try {
                write(attempt, identity, path);
                CallResponse response = connection.read();
                if (AnswerViolation.valuesOf(response, "Connection").contains("close")) {
                    disconnect();
                }
                return new EndedRequest(attempt, Optional.of(response), violation);
            } catch (StrictHttpClient.UnexpectedBytesException exception) {
                violation = Optional.of(AnswerViolation.NO_ANSWER_IN_THE_PROTOCOL);
            } catch (SocketTimeoutException exception) {
                violation = Optional.of(AnswerViolation.ENDED_LATE);
            } catch (EOFException | SocketException exception) {
                violation = Optional.empty();
            }
            disconnect();
            return new EndedRequest(attempt, Optional.empty(), violation);
        }
    }

    private static Optional<AnswerViolation> kindOf(final EndedRequest request, final List<StutteringTarget.Run> runs) {
        if (request.violation().isPresent() || request.response().isEmpty()) {
            return request.violation();
        }
        if (runs.size() > MOST_RUNS) {
            return Optional.of(AnswerViolation.SENT_TOO_OFTEN);
        }
        CallResponse response = request.response().orElseThrow();
        if (!AnswerViolation.valuesOf(response, StutteringTarget.HEADER_NAMES.signature())
                .isEmpty()) {
            return kindOfSigned(response, runs);
        }
        if (response.status() < AnswerViolation.LOWEST_REDIRECT_STATUS) {
            return Optional.of(AnswerViolation.SUCCESS_WITHOUT_SIGNATURE);
        }
        boolean ran = runs.stream().anyMatch(run -> !run.answer().isRefusal());
        return ran && PROMISES.contains(response.status())
                ? Optional.of(AnswerViolation.NOT_RUN_BUT_RAN)
                : Optional.empty();
    }

    /** A request may run again: the answer must be the one of any of its runs. */
    private static Optional<AnswerViolation> kindOfSigned(
            final CallResponse response, final List<StutteringTarget.Run> runs) {
        Optional<AnswerViolation> kind = Optional.of(AnswerViolation.ANSWER_WITHOUT_RUN);
        for (StutteringTarget.Run run : runs) {
            kind = AnswerViolation.ofAnswer(response, run, FIELDS_OF_NODES);
            if (kind.isEmpty()) {
                return kind;
            }
        }
        return kind;
    }

    private static boolean isSuccessForFailure(final EndedRequest request, final List<StutteringTarget.Run> runs) {
        return request.response().isPresent()
                && !runs.isEmpty()
                && runs.stream()
                        .allMatch(run -> AnswerViolation.isSuccessForFailure(
                                request.response().orElseThrow(), run));
    }

    private static String summary(
            final long seed,
            final List<EndedRequest> requests,
            final Map<Integer, List<StutteringTarget.Run>> runs,
            final List<Violation> violations) {
        Map<String, Integer> statuses = new TreeMap<>();
        requests.forEach(request -> statuses.merge(
                request.response()
                        .map(response -> Integer.toString(response.status()))
                        .orElse("none"),
                1,
                Integer::sum));
        return "seed " + seed + ": " + requests.size() + " requests, " + runs.size() + " run, " + statuses
                + ", violations " + countByLabel(violations);
    }

    private static Map<String, Integer> countByLabel(final List<Violation> violations) {
        Map<String, Integer> counts = new TreeMap<>();
        violations.forEach(violation -> counts.merge(violation.label(), 1, Integer::sum));
        return counts;
    }

    private static String describe(final long seed, final List<Violation> violations) {
        StringBuilder text = new StringBuilder("seed " + seed + " " + countByLabel(violations));
        violations.stream()
                .limit(PRINTED_VIOLATIONS)
                .forEach(violation -> text.append('\n').append(violation));
        return text.toString();
    }
}
