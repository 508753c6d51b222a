package org.sequoiashunt.trial.measurement;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import org.sequoiashunt.commit.SystemClock;
import org.sequoiashunt.http.PooledHttpClient;
import org.sequoiashunt.lifecycle.Closer;
import org.sequoiashunt.node.CallHeaders;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.time.Clock;
import org.sequoiashunt.trial.process.Conditions;
import org.sequoiashunt.trial.process.Deployment;
import org.sequoiashunt.trial.process.NodePages;
import org.sequoiashunt.trial.process.NodePlan;
import org.sequoiashunt.trial.process.OutgoingWorker;
import org.sequoiashunt.trial.target.TargetBehaviour;

/**
 * Measures what the nodes add to a call and what they cost: latency against the same target called directly, time to
 * put a commit in force, control bytes, processor time and resident memory.
 *
 * <p>Confined to one thread. All series of a rate are interleaved in one run.
 */
public final class Measurement {

    private static final String SERVICE = "registry-desk";
    private static final int WARM_UP_SECONDS = 20;
    private static final int[] RATES = {40, 400, 1_000};
    private static final int IDLE_SECONDS = 20;
    private static final int COMMITS = 20;
    private static final long START_BOUND_MS = 60_000;
    private static final int MAXIMUM_ANSWER_BYTES = 1_048_576;
    private static final double P50 = 50;
    private static final double P99 = 99;
    private static final double KILOBYTE = 1_024;

    private final PrintStream output;
    private final int seconds;
    private final Deployment deployment;
    private final PooledHttpClient exchanger;
    private final NodePages pages;
    private int version;

    private Measurement(final PrintStream output, final int seconds, final Closer closer) throws IOException {
        Clock clock = SystemClock.start();
        this.output = output;
        this.seconds = seconds;
        this.deployment = closer.register(Deployment.start(clock));
        OutgoingWorker worker = closer.register(new OutgoingWorker());
        this.exchanger = closer.register(
                PooledHttpClient.of(worker.worker(), clock, MAXIMUM_ANSWER_BYTES, CallHeaders.SINGLE_IN_RESPONSE));
        this.pages = new NodePages(exchanger);
    }

    /**
     * Measures and prints the figures.
     *
     * @param output takes the figures, not null.
     * @param seconds how long each rate is sent.
     * @return true if no request failed.
     * @throws Exception if a process cannot be started or something does not happen in its time.
     */
    public static boolean run(final PrintStream output, final int seconds) throws Exception {
        Objects.requireNonNull(output, "output");
        try (Closer closer = new Closer()) {
            return new Measurement(output, seconds, closer).run();
        }
    }

    private boolean run() throws Exception {
        startDeployment();
        List<RequestSeries> series = List.of(
                new RequestSeries(
                        "direct",
                        exchanger,
                        deployment.target("desk-1", SERVICE, "v1").address(),
                        SERVICE),
                new RequestSeries("entry on the target's node", exchanger, entry("desk-1"), SERVICE),
                new RequestSeries("entry elsewhere", exchanger, entry("desk-2"), SERVICE));
        measureIdle("idle before load");
        OpenLoopLoad loop = new OpenLoopLoad(series);
        loop.run(RATES[1], WARM_UP_SECONDS);
        boolean clean = true;
        for (int rate : RATES) {
            clean &= measureRate(loop, series, rate);
        }
        measureIdle("idle after load");
        measureCommits();
        return clean;
    }

    private void startDeployment() throws Exception {
        deployment.startNode(NodePlan.of("desk-1", "ha-noi-a", "bac-bo", "127.0.2.1"));
        deployment.startNode(NodePlan.of("desk-2", "hai-phong-b", "bac-bo", "127.0.2.2"));
        deployment.startNode(NodePlan.of("desk-3", "sai-gon-a", "nam-bo", "127.0.2.3"));
        deployment.startNode(NodePlan.of("desk-4", "can-tho-b", "nam-bo", "127.0.2.4"));
        deployment.startTarget("desk-1", SERVICE, "v1", TargetBehaviour.IMMEDIATE);
        commit();
        awaitInForce(START_BOUND_MS);
        Conditions.await("target known everywhere", START_BOUND_MS, () -> {
            RequestSeries probe = new RequestSeries("probe", exchanger, entry("desk-2"), SERVICE);
            probe.send(System.nanoTime());
            Thread.sleep(100);
            return probe.count() == 1 && probe.failures() == 0;
        });
    }

    private NodeAddress entry(final String node) {
        return deployment.plans().stream()
                .filter(plan -> plan.name().equals(node))
                .findFirst()
                .orElseThrow()
                .callers();
    }

    private boolean measureRate(final OpenLoopLoad loop, final List<RequestSeries> series, final int rate)
            throws Exception {
        series.forEach(RequestSeries::reset);
        List<ProcessReading> before = readings();
        long startNanos = System.nanoTime();
        loop.run(rate, seconds);
        double passedSeconds = (System.nanoTime() - startNanos) / 1e9;
        output.printf("%d requests a second in each series, %d s%n", rate, seconds);
        RequestSeries direct = series.get(0);
        series.forEach(each -> printSeries(each, direct));
        printProcesses(before, passedSeconds);
        return series.stream().allMatch(each -> each.failures() == 0);
    }

    private void printSeries(final RequestSeries series, final RequestSeries direct) {
        output.printf("  %-27s count %d failed %d", series.name(), series.count(), series.failures());
        for (double percentile : new double[] {P50, P99}) {
            double ms = series.percentileMs(percentile);
            double directMs = direct.percentileMs(percentile);
            output.printf(", p%.0f %.3f ms (added %.3f, ratio %.2f)", percentile, ms, ms - directMs, ms / directMs);
        }
        output.println();
    }

    private void measureIdle(final String name) throws Exception {
        List<ProcessReading> before = readings();
        List<Long> bytesBefore = controlBytes();
        long startNanos = System.nanoTime();
        Thread.sleep(IDLE_SECONDS * 1_000L);
        double passedSeconds = (System.nanoTime() - startNanos) / 1e9;
        List<Long> bytesAfter = controlBytes();
        output.printf("%s, %d s%n", name, IDLE_SECONDS);
        for (int node = 0; node < bytesAfter.size(); node++) {
            double rate = (bytesAfter.get(node) - bytesBefore.get(node)) / passedSeconds / KILOBYTE;
            output.printf(
                    "  %s control %.2f KB/s, sent and received%n",
                    deployment.plans().get(node).name(), rate);
        }
        printProcesses(before, passedSeconds);
    }

    private void printProcesses(final List<ProcessReading> before, final double passedSeconds) throws IOException {
        List<ProcessReading> after = readings();
        for (int node = 0; node < after.size(); node++) {
            long processorMs = after.get(node).processorMs() - before.get(node).processorMs();
            output.printf(
                    "  %s processor %.2f %% of a core, resident %.1f MB%n",
                    deployment.plans().get(node).name(),
                    processorMs / passedSeconds / 10,
                    after.get(node).residentKilobytes() / KILOBYTE);
        }
    }

    private List<ProcessReading> readings() throws IOException {
        List<ProcessReading> readings = new ArrayList<>();
        for (NodePlan plan : deployment.plans()) {
            readings.add(ProcessReading.of(deployment.node(plan.name()).processId()));
        }
        return readings;
    }

    private List<Long> controlBytes() throws IOException, InterruptedException {
        List<Long> bytes = new ArrayList<>();
        for (NodePlan plan : deployment.plans()) {
            JsonNode metrics = pages.metrics(plan);
            bytes.add(metrics.path("link.control-bytes-in").asLong()
                    + metrics.path("link.control-bytes-out").asLong());
        }
        return bytes;
    }

    private void measureCommits() throws Exception {
        List<Long> times = new ArrayList<>();
        for (int number = 0; number < COMMITS; number++) {
            commit();
            times.add(awaitInForce(START_BOUND_MS));
        }
        Collections.sort(times);
        output.printf(
                "commit to in force on the last of 4 nodes, from the end of the operator's command, %d commits: "
                        + "median %d ms, longest %d ms%n",
                COMMITS, times.get(COMMITS / 2), times.get(COMMITS - 1));
    }

    private void commit() throws Exception {
        version++;
        String yaml = """
                services:
                  %s:
                    version: "v1"
                    routes:
                      - name: lookup
                        path: /lookup
                        methods: [GET]
                        idempotent: true
                        timeout: %d
                """.formatted(SERVICE, 10_000 + version);
        Path file = Files.writeString(deployment.directory().resolve("manifest.yaml"), yaml);
        Deployment.OperatorRun run = deployment.runOperator(
                "commit", file.toString(), "--author", "measurement", "--message", "step " + version);
        if (run.exitCode() != 0) {
            throw new IOException("commit ended with exit code " + run.exitCode() + ": " + run.text());
        }
    }

    private long awaitInForce(final long boundMs) throws Exception {
        return Conditions.await("version " + version + " in force on every node", boundMs, () -> {
            for (NodePlan plan : deployment.plans()) {
                if (pages.status(plan).path("configurationVersion").asLong() < version) {
                    return false;
                }
            }
            return true;
        });
    }
}
