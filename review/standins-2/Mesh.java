import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;

/**
 * A small deployment on loopback addresses: a store, nodes, and one backend beside each node.
 *
 * <p>Closing ends all processes that were started. Not thread-safe but for the heartbeats.
 */
final class Mesh implements AutoCloseable {

    static final String HOST = "desk.example";
    static final long HEARTBEAT_MS = 1_500;
    private static final long LONGEST_RUN_MS = 110_000;

    private static final List<String> ROUTE_COLUMNS = List.of(
            "Name", "Host", "Prefix", "Service", "Kind", "TimeoutMs", "TargetLatencyMs", "Attempts", "Priority");

    private final Record record;
    private final Path folder;
    private final Store store;
    private final Map<String, Node> nodes = new ConcurrentSkipListMap<>();
    private final Map<String, Target> targets = new LinkedHashMap<>();
    private final Map<String, Boolean> beating = new ConcurrentHashMap<>();
    private volatile boolean closed;

    Mesh(final Record record) throws IOException {
        this.record = record;
        this.folder = Files.createTempDirectory("review-2-");
        this.store = new Store(record);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        Thread watchdog = new Thread(this::endLateRun, "watchdog");
        watchdog.setDaemon(true);
        watchdog.start();
    }

    /** Ends a case that takes too long; it then counts as not run. */
    private void endLateRun() {
        try {
            Thread.sleep(LONGEST_RUN_MS);
        } catch (InterruptedException exception) {
            return;
        }
        record.log("could not run: it took too long");
        System.exit(2);
    }

    private void endProcesses() {
        for (Node node : nodes.values()) {
            node.close();
        }
    }

    /** Returns the terms of the deployment bienso-mesh. */
    static Map<String, Object> terms() {
        Map<String, Object> terms = new LinkedHashMap<>();
        terms.put("HeartbeatMs", HEARTBEAT_MS);
        terms.put("Bounds.GraceS", 6);
        terms.put("Bounds.RetryBudgetRatio", 0.2);
        terms.put("Bounds.RetrySlack", 56);
        terms.put("Bounds.BudgetWindowS", 10);
        terms.put("Bounds.QuotaWindowS", 5);
        terms.put("Bounds.QuotaOver", 0.1);
        terms.put("Bounds.QuotaSlack", 20);
        return terms;
    }

    Store store() {
        return store;
    }

    Path folder() {
        return folder;
    }

    Node addNode(final String name, final String zone, final String region, final String service, final long workMs)
            throws IOException {
        Node node = new Node(record, folder, name, zone, region, service, store.open(name), terms());
        nodes.put(name, node);
        targets.put(name, new Target(record, "i-" + name, service, zone, 18, workMs));
        beating.put(name, true);
        return node;
    }

    Node node(final String name) {
        return nodes.get(name);
    }

    Target target(final String name) {
        return targets.get(name);
    }

    /** Writes a configuration without tenants. */
    void configure(final long version, final List<List<Object>> routes, final String... services) {
        configure(version, routes, null, services);
    }

    /** Writes a configuration; tenants are null if there are none. */
    void configure(
            final long version, final List<List<Object>> routes, final Object tenants, final String... services) {
        List<Object> rows = new ArrayList<>();
        for (String service : services) {
            rows.add(List.of(service, "/healthz", 110));
        }
        Map<String, Object> document = new LinkedHashMap<>();
        document.put("Version", version);
        document.put("Routes", Map.of("Columns", ROUTE_COLUMNS, "Rows", routes));
        document.put(
                "Services", Map.of("Columns", List.of("Name", "HealthCheckPath", "MaxConnections"), "Rows", rows));
        document.put(
                "Limits",
                Map.of(
                        "MaxHeaderBytes", 16_384,
                        "MaxBodyBytes", 1_048_576,
                        "HeaderTimeoutMs", 10_000,
                        "IdleTimeoutMs", 60_000));
        if (tenants != null) {
            document.put("Tenants", tenants);
        }
        store.operatorPuts("op/config", document);
        record.log("configuration %d acknowledged", version);
    }

    static List<Object> route(final String name, final String prefix, final String service, final String kind) {
        return List.of(name, HOST, prefix, service, kind, 3_000, 500, 2, 1);
    }

    /** Starts all nodes and the heartbeats, and waits until all nodes are ready. */
    void start() throws IOException, InterruptedException {
        for (Node node : nodes.values()) {
            node.start();
        }
        for (String name : nodes.keySet()) {
            Thread beats = new Thread(() -> beatAlways(name), "beats-" + name);
            beats.setDaemon(true);
            beats.start();
        }
        long endMs = record.nowMs() + 30_000;
        for (Node node : nodes.values()) {
            while (!node.isReady()) {
                if (record.nowMs() > endMs) {
                    throw new IOException(node.name() + " is not ready");
                }
                Thread.sleep(50);
            }
        }
        record.log("all nodes are ready");
    }

    private void beatAlways(final String name) {
        try {
            while (!closed) {
                if (beating.get(name)) {
                    targets.get(name).beat(nodes.get(name).control(), "ready");
                }
                Thread.sleep(HEARTBEAT_MS);
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** Stops or resumes the regular heartbeats of the backend beside a node. */
    void setBeating(final String name, final boolean isBeating) {
        beating.put(name, isBeating);
    }

    @Override
    public void close() throws IOException {
        closed = true;
        endProcesses();
        for (Target target : targets.values()) {
            target.close();
        }
        store.close();
        if (System.getenv("KEEP") == null) {
            try (var files = Files.walk(folder)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        } else {
            System.err.println(folder);
        }
    }
}
