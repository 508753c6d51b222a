package org.sequoiashunt.trial.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.sequoiashunt.lifecycle.Closer;
import org.sequoiashunt.lifecycle.ResourceCloseException;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.time.Clock;
import org.sequoiashunt.trial.store.FakeStoreServer;
import org.sequoiashunt.trial.store.StoreRates;
import org.sequoiashunt.trial.target.FakeTarget;
import org.sequoiashunt.trial.target.RunLog;
import org.sequoiashunt.trial.target.TargetAnnouncer.Announcement;
import org.sequoiashunt.trial.target.TargetBehaviour;

/**
 * Fake store, node processes and fake targets of a trial, all on loopback addresses.
 *
 * <p>Thread-safe: guarded by its own monitor. Closing it ends everything that it started.
 */
public final class Deployment implements AutoCloseable {

    private static final int SLOTS = 20;
    private static final int CONNECTIONS = 110;
    private static final long SERVICE_TIME_MS = 3;

    private final Closer closer = new Closer();
    private final Path directory;
    private final FakeStoreServer store;
    private final RunLog runLog = new RunLog();
    private final Map<String, NodePlan> plans = new LinkedHashMap<>();
    private final Map<String, ChildProcess> nodes = new LinkedHashMap<>();
    private final Map<String, FakeTarget> targets = new LinkedHashMap<>();

    private Deployment(final Path directory, final Clock clock) {
        this.directory = directory;
        this.store = closer.register(FakeStoreServer.startOnLoopback(StoreRates.PLATFORM, clock));
    }

    /**
     * Starts a store and nothing else.
     *
     * @param clock the clock of the store, not null.
     * @return the deployment, never null.
     * @throws IOException if no directory can be made for settings and logs.
     */
    public static Deployment start(final Clock clock) throws IOException {
        Objects.requireNonNull(clock, "clock");
        return new Deployment(Files.createTempDirectory("sequoiashunt-trial"), clock);
    }

    /**
     * Starts a node for the first time.
     *
     * @param plan the name, location and addresses of the node, not null.
     * @throws IOException if it cannot be started.
     */
    public synchronized void startNode(final NodePlan plan) throws IOException {
        plans.put(plan.name(), plan);
        plan.writeSettings(directory, store.address());
        restartNode(plan.name());
    }

    /**
     * Restarts a node whose process has ended.
     *
     * @param name the name of the node, not null.
     * @throws IOException if it cannot be started.
     */
    public synchronized void restartNode(final String name) throws IOException {
        Path settings = directory.resolve(name + ".yaml");
        List<String> arguments = List.of("--settings", settings.toString());
        Path output = directory.resolve(name + ".log");
        ChildProcess process = ChildProcess.start(Programs.nodeOptions(), Programs.node(), arguments, output);
        nodes.put(name, closer.register(process));
    }

    /**
     * Starts a target on the VM of a node.
     *
     * @param node the name of the node, not null.
     * @param service the service, not null.
     * @param version the version, not null.
     * @param behaviour how the target answers requests, not null.
     */
    public synchronized void startTarget(
            final String node, final String service, final String version, final TargetBehaviour behaviour) {
        NodePlan plan = plans.get(node);
        String name = service + "-" + version;
        Announcement announcement = new Announcement(plan.admin(), name, service, version, SLOTS, CONNECTIONS);
        FakeTarget target = FakeTarget.start(announcement, plan.admin().host(), behaviour, SERVICE_TIME_MS, runLog);
        targets.put(node + "/" + name, closer.register(target));
    }

    /**
     * Finds a target.
     *
     * @param node the name of its node, not null.
     * @param service the service, not null.
     * @param version the version, not null.
     * @return the target, or null if it was not started.
     */
    public synchronized FakeTarget target(final String node, final String service, final String version) {
        return targets.get(node + "/" + service + "-" + version);
    }

    /**
     * Finds the process of a node.
     *
     * @param name the name of the node, not null.
     * @return the process, or null if it was not started.
     */
    public synchronized ChildProcess node(final String name) {
        return nodes.get(name);
    }

    /**
     * Lists the plans of all started nodes.
     *
     * @return the plans in the order of their start.
     */
    public synchronized List<NodePlan> plans() {
        return new ArrayList<>(plans.values());
    }

    /**
     * Lists the caller addresses of the nodes whose processes run.
     *
     * @return the addresses in the order of their start.
     */
    public synchronized List<NodeAddress> runningNodeAddresses() {
        return plans.values().stream()
                .filter(plan -> nodes.get(plan.name()).isAlive())
                .map(NodePlan::callers)
                .toList();
    }

    /**
     * Returns the store.
     *
     * @return the store, never null.
     */
    public FakeStoreServer store() {
        return store;
    }

    /**
     * Returns the counts of the requests that the targets have run.
     *
     * @return the log, never null.
     */
    public RunLog runLog() {
        return runLog;
    }

    /**
     * Returns the directory of settings and logs.
     *
     * @return the directory, never null.
     */
    public Path directory() {
        return directory;
    }

    /**
     * Runs the operator's program and waits for its end.
     *
     * @param arguments its arguments without the address of the store, not null.
     * @return what it printed and its exit code.
     * @throws IOException if it cannot be run.
     * @throws InterruptedException if the thread is interrupted.
     */
    public OperatorRun runOperator(final String... arguments) throws IOException, InterruptedException {
        List<String> allArguments = new ArrayList<>(List.of(arguments));
        allArguments.add("--store");
        allArguments.add(store.address().toString());
        Path output = Files.createTempFile(directory, "operator", ".log");
        try (ChildProcess process = ChildProcess.start(List.of(), Programs.operator(), allArguments, output)) {
            int exitCode = process.awaitEnd(OperatorRun.TIMEOUT_MS);
            return new OperatorRun(exitCode, Files.readString(output));
        }
    }

    @Override
    public void close() throws ResourceCloseException {
        closer.close();
    }

    /**
     * Result of one run of the operator's program. Immutable and thread-safe.
     *
     * @param exitCode its exit code, -1 if it did not end in time.
     * @param text what it printed.
     */
    public record OperatorRun(int exitCode, String text) {

        /** Longest run, in milliseconds. */
        public static final long TIMEOUT_MS = 60_000;
    }
}
