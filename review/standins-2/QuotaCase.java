import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * All node processes are killed at the same moment and start again while one tenant sends several times its limit.
 * Checks that no window holds more of its requests than the rule allows.
 */
final class QuotaCase {

    private static final int NODES = 8;
    private static final int CLIENTS_PER_NODE = 2;
    private static final long CLIENT_PAUSE_MS = 80;
    private static final double RATE_PER_SECOND = 40;
    private static final double BURST = 20;
    private static final long WINDOW_MS = 5_000;
    private static final double ALLOWED = (RATE_PER_SECOND * WINDOW_MS / 1_000 + BURST) * 1.1 + 20;
    private static final long BEFORE_MS = 14_000;
    private static final long DOWN_MS = 500;
    private static final long AFTER_MS = 12_000;
    private static final String KEY = "492cqf75rjvz48wuakn2";

    private QuotaCase() {}

    public static void main(final String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Record record = new Record(Path.of(arguments[0], "record.txt"))) {
            try (Mesh mesh = new Mesh(record)) {
                code = run(record, mesh, trouble);
            } catch (Exception exception) {
                record.log("could not run: %s", exception);
                exception.printStackTrace();
            }
            record.log("ends with %d", code);
            record.violations().forEach(System.out::println);
        }
        Runtime.getRuntime().halt(code);
    }

    private static int run(final Record record, final Mesh mesh, final boolean trouble) throws Exception {
        List<Node> nodes = new ArrayList<>();
        for (int index = 1; index <= NODES; index++) {
            String zone = index % 2 == 0 ? "tpe-a" : "tpe-b";
            nodes.add(mesh.addNode("sidecar-" + zone + "-" + index, zone, "tw-north", "dispatch-api", 10));
        }
        mesh.configure(
                1,
                List.of(Mesh.route("curve-read", "/curve/", "dispatch-api", "idempotent")),
                Map.of(
                        "Columns", List.of("Name", "ApiKeys", "Priority", "RatePerS", "Burst"),
                        "Rows", List.of(List.of("utility", List.of(KEY), 1, RATE_PER_SECOND, BURST))),
                "dispatch-api");
        mesh.start();
        Map<String, Long> sentMs = new ConcurrentHashMap<>();
        AtomicBoolean ended = new AtomicBoolean();
        for (Node node : nodes) {
            for (int client = 0; client < CLIENTS_PER_NODE; client++) {
                String prefix = node.name() + "-c" + client + "-";
                Thread thread = new Thread(() -> sendAlways(record, node, prefix, sentMs, ended), prefix);
                thread.setDaemon(true);
                thread.start();
            }
        }
        Thread.sleep(BEFORE_MS);
        long killedMs = record.nowMs();
        if (trouble) {
            for (Node node : nodes) {
                node.signal("KILL");
            }
            for (Node node : nodes) {
                node.awaitEnd(2_000);
            }
            Thread.sleep(DOWN_MS);
            for (Node node : nodes) {
                node.start();
            }
        }
        Thread.sleep(AFTER_MS);
        ended.set(true);
        return judge(record, mesh, nodes, sentMs, killedMs);
    }

    private static void sendAlways(
            final Record record,
            final Node node,
            final String prefix,
            final Map<String, Long> sentMs,
            final AtomicBoolean ended) {
        int number = 0;
        while (!ended.get()) {
            number++;
            String requestId = prefix + number;
            sentMs.put(requestId, record.nowMs());
            Client.send(
                    record,
                    node.outbound(),
                    "GET",
                    Mesh.HOST,
                    "/curve/" + number,
                    requestId,
                    2_500,
                    "",
                    "Authorization: Bearer " + KEY);
            try {
                Thread.sleep(CLIENT_PAUSE_MS);
            } catch (InterruptedException exception) {
                return;
            }
        }
    }

    /** Counts, for each window, the requests that were sent and arrived at a backend within it. */
    private static int judge(
            final Record record,
            final Mesh mesh,
            final List<Node> nodes,
            final Map<String, Long> sentMs,
            final long killedMs) {
        Map<String, Long> arrivedMs = new HashMap<>();
        for (Node node : nodes) {
            for (Target.Arrival arrival : mesh.target(node.name()).arrivals()) {
                arrivedMs.putIfAbsent(arrival.requestId(), arrival.atMs());
            }
        }
        int most = 0;
        int mostBefore = 0;
        long mostFromMs = 0;
        for (String first : arrivedMs.keySet()) {
            long fromMs = sentMs.get(first);
            int count = 0;
            for (Map.Entry<String, Long> other : arrivedMs.entrySet()) {
                if (sentMs.get(other.getKey()) >= fromMs && other.getValue() <= fromMs + WINDOW_MS) {
                    count++;
                }
            }
            if (fromMs + WINDOW_MS < killedMs) {
                mostBefore = Math.max(mostBefore, count);
            }
            if (count > most) {
                most = count;
                mostFromMs = fromMs;
            }
        }
        record.log(
                "killed at %d; most in a window before: %d; most in any: %d, from %d; allowed %.0f",
                killedMs,
                mostBefore,
                most,
                mostFromMs,
                ALLOWED);
        System.out.printf("most before %d, most in any window %d, allowed %.0f%n", mostBefore, most, ALLOWED);
        if (arrivedMs.isEmpty() || mostBefore > ALLOWED) {
            return 2;
        }
        if (most > ALLOWED) {
            record.violation("QUOTA: %d requests in the window from %d, allowed %.0f", most, mostFromMs, ALLOWED);
            return 1;
        }
        return 0;
    }
}
