package org.sequoiashunt.trial.process;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.call.HeaderField;
import org.sequoiashunt.commit.SystemClock;
import org.sequoiashunt.http.HttpRequest;
import org.sequoiashunt.http.PooledHttpClient;
import org.sequoiashunt.lifecycle.Closer;
import org.sequoiashunt.lifecycle.ResourceCloseException;
import org.sequoiashunt.node.CallHeaders;
import org.sequoiashunt.time.Clock;
import org.sequoiashunt.trial.load.CallerLoad;
import org.sequoiashunt.trial.process.Conditions.ConditionException;
import org.sequoiashunt.trial.process.Deployment.OperatorRun;
import org.sequoiashunt.trial.target.FakeTarget;
import org.sequoiashunt.trial.target.TargetBehaviour;

/**
 * Four running nodes of one home group, each with a target of one service, for process tests.
 *
 * <p>Confined to one thread.
 */
final class NodeProcesses implements AutoCloseable {

    /** The node in which all tests inject faults, always the same: the guards of the others stay complete. */
    static final String FAULTED_NODE = "registry-desk-4";

    private static final String SERVICE = "registry-desk";
    private static final int REQUESTS_PER_SECOND = 100;
    private static final long START_BOUND_MS = 60_000;
    private static final long IN_FORCE_BOUND_MS = 4_000;
    private static final long CALL_TIMEOUT_MS = 2_000;
    private static final int MAXIMUM_ANSWER_BYTES = 1_048_576;
    private static final String MANIFEST = """
            groups:
              bac-bo: [ha-noi-a, hai-phong-b]
            services:
              registry-desk:
                version: "v1"
                homeGroups: [bac-bo]
                routes:
                  - {name: lookup, path: /lookup, methods: [GET], idempotent: true, timeout: 2000}
                  - {name: reserve, path: /reserve, methods: [POST], idempotent: false, timeout: %d}
            """;

    private final Closer closer = new Closer();
    private final Clock clock = SystemClock.start();
    private final Deployment deployment;
    private final PooledHttpClient httpClient;
    private final NodePages pages;
    private CallerLoad load;
    private int manifestCount;
    private long version;

    private NodeProcesses() throws IOException {
        OutgoingWorker worker = closer.register(new OutgoingWorker());
        deployment = closer.register(Deployment.start(clock));
        httpClient = closer.register(
                PooledHttpClient.of(worker.worker(), clock, MAXIMUM_ANSWER_BYTES, CallHeaders.SINGLE_IN_RESPONSE));
        pages = new NodePages(httpClient);
    }

    static NodeProcesses start() throws Exception {
        NodeProcesses processes = new NodeProcesses();
        try {
            processes.startNodes();
        } catch (Exception exception) {
            processes.close();
            throw exception;
        }
        return processes;
    }

    private void startNodes() throws Exception {
        deployment.startNode(NodePlan.of("registry-desk-1", "ha-noi-a", "bac-bo", "127.0.1.11"));
        deployment.startNode(NodePlan.of("registry-desk-2", "ha-noi-a", "bac-bo", "127.0.1.12"));
        deployment.startNode(NodePlan.of("registry-desk-3", "hai-phong-b", "bac-bo", "127.0.1.13"));
        deployment.startNode(NodePlan.of(FAULTED_NODE, "hai-phong-b", "bac-bo", "127.0.1.14"));
        for (NodePlan plan : deployment.plans()) {
            Conditions.await("members at " + plan.name(), START_BOUND_MS, () -> status(plan, "aliveMembers") == 2);
        }
        commitAndAwaitInForce();
        for (NodePlan plan : deployment.plans()) {
            deployment.startTarget(plan.name(), SERVICE, "v1", TargetBehaviour.GOOD);
        }
        awaitServing();
    }

    Deployment deployment() {
        return deployment;
    }

    CallerLoad startLoad() {
        load = closer.register(
                new CallerLoad(httpClient, deployment::runningNodeAddresses, List.of(SERVICE), deployment.runLog()));
        load.start(REQUESTS_PER_SECOND);
        return load;
    }

    /** Ends the load and all faults, so that a failed test does not fail the next one. */
    void recover() throws IOException, InterruptedException, ConditionException {
        load.close();
        deployment.store().faults().setDown(false);
        if (deployment.node(FAULTED_NODE).isAlive()) {
            deployment.node(FAULTED_NODE).signal("CONT");
        } else {
            deployment.restartNode(FAULTED_NODE);
        }
        awaitServing();
    }

    /** Commits a manifest that differs from the previous one. */
    OperatorRun commit() throws IOException, InterruptedException {
        manifestCount++;
        String manifest = MANIFEST.formatted(CALL_TIMEOUT_MS + manifestCount);
        Path file = Files.writeString(deployment.directory().resolve("manifest-" + manifestCount + ".yaml"), manifest);
        return deployment.runOperator(
                "commit", file.toString(), "--author", "test", "--message", "change " + manifestCount);
    }

    long versionInForce(final String node) throws IOException, InterruptedException {
        return status(plan(node), "configurationVersion");
    }

    /** Commits and waits until the new version is in force on every running node. */
    long commitAndAwaitInForce() throws Exception {
        commitOrThrow();
        awaitInForce();
        return version;
    }

    void commitOrThrow() throws IOException, InterruptedException {
        OperatorRun run = commit();
        if (run.exitCode() != 0) {
            throw new IOException("exit code " + run.exitCode() + ": " + run.text());
        }
        version++;
    }

    /** Waits until the last accepted version is in force on every running node. */
    void awaitInForce() throws InterruptedException, ConditionException {
        long tookMs = Conditions.await(
                "version " + version + " in force on every node", IN_FORCE_BOUND_MS, () -> isInForce(version));
        System.out.println("version " + version + " in force after " + tookMs + " ms");
    }

    private boolean isInForce(final long expectedVersion) throws IOException, InterruptedException {
        for (NodePlan plan : deployment.plans()) {
            boolean runs = deployment.node(plan.name()).isAlive();
            if (runs && status(plan, "configurationVersion") != expectedVersion) {
                return false;
            }
        }
        return true;
    }

    /** Waits until the faulted node and its target serve again. */
    void awaitFaultedNodeServing() throws InterruptedException, ConditionException {
        awaitServing();
        long runs = target().runs();
        Conditions.await("a request at the target of " + FAULTED_NODE, START_BOUND_MS, () -> {
            reserve(deployment.plans().get(0));
            return target().runs() > runs;
        });
    }

    FakeTarget target() {
        return deployment.target(FAULTED_NODE, SERVICE, "v1");
    }

    void startTarget() {
        deployment.startTarget(FAULTED_NODE, SERVICE, "v1", TargetBehaviour.GOOD);
    }

    /** Formats, for each running node, the non-zero counts of the reasons why calls ended without an answer. */
    String unansweredCallReasons() throws IOException, InterruptedException {
        StringBuilder text = new StringBuilder();
        for (NodePlan plan : deployment.plans()) {
            if (deployment.node(plan.name()).isAlive()) {
                JsonNode metrics = pages.metrics(plan);
                text.append(plan.name());
                metrics.fieldNames().forEachRemaining(metric -> {
                    if (metric.startsWith("calls.reason.")
                            && metrics.get(metric).asLong() > 0) {
                        text.append(' ').append(metric).append('=').append(metrics.get(metric));
                    }
                });
                text.append('\n');
            }
        }
        return text.toString();
    }

    /** Waits until a reservation succeeds at each node. */
    void awaitServing() throws InterruptedException, ConditionException {
        for (NodePlan plan : deployment.plans()) {
            Conditions.await("a reservation at " + plan.name(), START_BOUND_MS, () -> reserve(plan) == 200);
        }
    }

    private int reserve(final NodePlan plan) throws Exception {
        List<HeaderField> headers = List.of(
                new HeaderField(CallHeaders.SERVICE, SERVICE),
                new HeaderField(CallHeaders.IDEMPOTENCY_KEY, "probe-" + System.nanoTime()));
        HttpRequest request = new HttpRequest("POST", "/reserve", headers, Body.of(new byte[] {1}), true);
        CallResponse answer = httpClient
                .send(plan.callers(), request, CALL_TIMEOUT_MS)
                .get(CALL_TIMEOUT_MS * 2, TimeUnit.MILLISECONDS);
        return answer.status();
    }

    private NodePlan plan(final String node) {
        return deployment.plans().stream()
                .filter(plan -> plan.name().equals(node))
                .findFirst()
                .orElseThrow();
    }

    private long status(final NodePlan plan, final String field) throws IOException, InterruptedException {
        return pages.status(plan).path(field).asLong();
    }

    @Override
    public void close() throws ResourceCloseException {
        closer.close();
    }
}
