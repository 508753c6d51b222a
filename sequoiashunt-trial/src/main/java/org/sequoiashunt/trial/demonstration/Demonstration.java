package org.sequoiashunt.trial.demonstration;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.sequoiashunt.commit.HttpStore;
import org.sequoiashunt.commit.StoredMoveRegistry;
import org.sequoiashunt.commit.SystemClock;
import org.sequoiashunt.configuration.Move;
import org.sequoiashunt.http.PooledHttpClient;
import org.sequoiashunt.lifecycle.Closer;
import org.sequoiashunt.node.CallHeaders;
import org.sequoiashunt.rollout.RolloutProgress;
import org.sequoiashunt.rollout.Stage;
import org.sequoiashunt.time.Clock;
import org.sequoiashunt.trial.load.CallerLoad;
import org.sequoiashunt.trial.load.LoadSummary;
import org.sequoiashunt.trial.process.Conditions;
import org.sequoiashunt.trial.process.Conditions.ConditionException;
import org.sequoiashunt.trial.process.Deployment;
import org.sequoiashunt.trial.process.Deployment.OperatorRun;
import org.sequoiashunt.trial.process.NodePages;
import org.sequoiashunt.trial.process.NodePlan;
import org.sequoiashunt.trial.process.OutgoingWorker;
import org.sequoiashunt.trial.target.TargetBehaviour;

/**
 * The main job, whole: nodes in two regions and four failure domains, callers, a good rollout that ends done, a bad one
 * that is taken back, and a summary of what callers sent and got.
 *
 * <p>Confined to one thread.
 */
public final class Demonstration {

    private static final String SERVICE = "registry-desk";
    private static final String REASON_PREFIX = "calls.reason.";
    private static final int REQUESTS_PER_SECOND = 200;
    private static final long START_BOUND_MS = 60_000;
    private static final long IN_FORCE_BOUND_MS = 4_000;
    private static final long MOVE_MS = 60_000;
    private static final long OUTCOME_SLACK_MS = 30_000;
    private static final long STORE_TIMEOUT_MS = 2_000;
    private static final int MAXIMUM_ANSWER_BYTES = 1_048_576;

    private final PrintStream output;
    private final Clock clock = SystemClock.start();
    private final Closer closer;
    private final Deployment deployment;
    private final HttpStore store;
    private final OutgoingWorker worker;
    private final PooledHttpClient exchanger;
    private final NodePages pages;
    private int commits;

    private Demonstration(final PrintStream output, final Closer closer) throws IOException {
        this.output = output;
        this.closer = closer;
        this.worker = closer.register(new OutgoingWorker());
        this.deployment = closer.register(Deployment.start(clock));
        this.exchanger = closer.register(
                PooledHttpClient.of(worker.worker(), clock, MAXIMUM_ANSWER_BYTES, CallHeaders.SINGLE_IN_RESPONSE));
        this.pages = new NodePages(exchanger);
        this.store = HttpStore.of(deployment.store().address(), worker.worker(), STORE_TIMEOUT_MS);
    }

    /**
     * Runs the demonstration.
     *
     * @param output takes the report, not null.
     * @return true if both rollouts ended as they must and nothing was lost, crossed or doubled.
     * @throws Exception if a process cannot be started or something does not happen in its time.
     */
    public static boolean run(final PrintStream output) throws Exception {
        Objects.requireNonNull(output, "output");
        try (Closer closer = new Closer()) {
            return new Demonstration(output, closer).run();
        }
    }

    private boolean run() throws Exception {
        startNodes();
        startTargets("v1", TargetBehaviour.GOOD);
        commit(new DemonstrationManifest("v1", "", Instant.EPOCH));
        CallerLoad load = closer.register(
                new CallerLoad(exchanger, deployment::runningNodeAddresses, List.of(SERVICE), deployment.runLog()));
        load.start(REQUESTS_PER_SECOND);
        Stage good = move("v1", "v2", TargetBehaviour.GOOD);
        Stage bad = move("v2", "v3", TargetBehaviour.FAILING);
        LoadSummary summary = load.stop();
        output.println(deployment.runOperator("status").text());
        output.println(deployment.runOperator("history").text());
        output.println("refusals at the entries: " + refusals());
        output.println("callers: " + summary);
        boolean passed = good == Stage.SEALED_DONE && bad == Stage.SEALED_TAKEN_BACK && summary.isClean();
        output.println(passed ? "PASSED" : "FAILED");
        return passed;
    }

    /** Sums over all nodes how calls ended that no target answered. */
    private Map<String, Long> refusals() throws IOException, InterruptedException {
        Map<String, Long> counts = new TreeMap<>();
        for (NodePlan plan : deployment.plans()) {
            pages.metrics(plan).fields().forEachRemaining(metric -> {
                boolean refusal = metric.getKey().startsWith(REASON_PREFIX)
                        && !metric.getKey().endsWith("answered")
                        && metric.getValue().asLong() > 0;
                if (refusal) {
                    String reason = metric.getKey().substring(REASON_PREFIX.length());
                    counts.merge(reason, metric.getValue().asLong(), Long::sum);
                }
            });
        }
        return counts;
    }

    private void startNodes() throws Exception {
        deployment.startNode(NodePlan.of("registry-desk-1", "ha-noi-a", "bac-bo", "127.0.1.1"));
        deployment.startNode(NodePlan.of("registry-desk-2", "hai-phong-b", "bac-bo", "127.0.1.2"));
        deployment.startNode(NodePlan.of("registry-desk-3", "sai-gon-a", "nam-bo", "127.0.1.3"));
        deployment.startNode(NodePlan.of("registry-desk-4", "can-tho-b", "nam-bo", "127.0.1.4"));
        output.println("started 4 nodes in 4 failure domains of 2 regions; logs in " + deployment.directory());
    }

    private void startTargets(final String version, final TargetBehaviour behaviour) {
        for (NodePlan plan : deployment.plans()) {
            deployment.startTarget(plan.name(), SERVICE, version, behaviour);
        }
        output.println("started targets of " + version + ", behaviour " + behaviour);
    }

    private Stage move(final String from, final String to, final TargetBehaviour behaviour) throws Exception {
        startTargets(to, behaviour);
        Instant finishBy = Instant.ofEpochMilli(clock.nowMs() + MOVE_MS);
        commit(new DemonstrationManifest(from, to, finishBy));
        String move = new Move(from, to, finishBy.toEpochMilli()).identity(SERVICE);
        StoredMoveRegistry register = StoredMoveRegistry.of(store, clock);
        Conditions.await(
                "outcome of the move to " + to,
                MOVE_MS + OUTCOME_SLACK_MS,
                () -> register.read(move)
                        .filter(progress -> progress.stage().isSealed())
                        .isPresent());
        RolloutProgress progress = register.read(move).orElseThrow();
        output.println(to + ": " + progress.stage() + ", " + progress.reason());
        if (progress.stage() == Stage.SEALED_DONE) {
            commit(new DemonstrationManifest(to, "", Instant.EPOCH));
        }
        return progress.stage();
    }

    private void commit(final DemonstrationManifest manifest) throws Exception {
        commits++;
        Path file =
                Files.writeString(deployment.directory().resolve("manifest-" + commits + ".yaml"), manifest.toYaml());
        OperatorRun run = deployment.runOperator(
                "commit", file.toString(), "--author", "demonstration", "--message", "step " + commits);
        output.print(run.text());
        if (run.exitCode() != 0) {
            throw new IOException("commit ended with exit code " + run.exitCode());
        }
        long boundMs = commits == 1 ? START_BOUND_MS : IN_FORCE_BOUND_MS;
        long tookMs = awaitInForce(commits, boundMs);
        output.println("version " + commits + " in force on every node after " + tookMs + " ms");
    }

    private long awaitInForce(final long version, final long boundMs) throws InterruptedException, ConditionException {
        return Conditions.await("version " + version + " in force on every node", boundMs, () -> isInForce(version));
    }

    private boolean isInForce(final long version) throws IOException, InterruptedException {
        for (NodePlan plan : deployment.plans()) {
            if (pages.status(plan).path("configurationVersion").asLong() < version) {
                return false;
            }
        }
        return true;
    }
}
