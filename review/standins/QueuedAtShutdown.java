package review;

import java.io.EOFException;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A machine gets SIGTERM while writes that it has read wait for a slot of a backend beside another machine. Does each of
 * them get an answer before the process ends?
 */
final class QueuedAtShutdown extends Case {

    private static final int GRACE_MS = 6_000;
    private static final int LOSS_SLACK_MS = 200;
    private static final int WORK_MS = 2_400;
    private static final int TIMEOUT_MS = 10_000;
    private static final int SLOTS = 9;
    private static final int REQUESTS = 4 * SLOTS;

    private final Map<String, Long> sentMs = new ConcurrentHashMap<>();
    private final Map<String, Long> cutMs = new ConcurrentHashMap<>();
    private final Map<String, Long> beganMs = new ConcurrentHashMap<>();
    private final Set<String> answered = ConcurrentHashMap.newKeySet();

    public static void main(final String[] arguments) {
        main(new QueuedAtShutdown());
    }

    @Override
    int run() throws Exception {
        Mesh.Node a = mesh.add("n-a", "127.0.1.1", "z1", "r1", "front");
        Mesh.Node b = mesh.add("n-b", "127.0.1.2", "z1", "r1", "desk");
        store.operatorPut(
                "op/config",
                new Config()
                        .service("front")
                        .service("desk")
                        .route("do", "desk.example", "/do/", false, TIMEOUT_MS, 8_500, 0, 2, "desk")
                        .version(3));
        for (Mesh.Node node : List.of(a, b)) {
            mesh.start(node);
        }
        for (Mesh.Node node : List.of(a, b)) {
            mesh.awaitReady(node, 20_000);
        }
        new Backend("i-a", "front", "v1", a.app, a.control, SLOTS, request -> 50, record).startBeats();
        new Backend(
                        "i-b",
                        "desk",
                        "v1",
                        b.app,
                        b.control,
                        SLOTS,
                        request -> {
                            beganMs.put(request.headers().get("Request-Id"), record.ms());
                            return WORK_MS;
                        },
                        record)
                .startBeats();
        Backend.sleep(5_000);
        for (int index = 0; index < REQUESTS; index++) {
            String id = "q" + index;
            Backend.daemon("client", () -> send(id, a));
            Backend.sleep(5);
        }
        Backend.sleep(300);
        long termMs = record.ms();
        if (trouble) {
            mesh.signal(a, "TERM");
            mesh.awaitEnd(a);
        }
        Backend.sleep(termMs + TIMEOUT_MS - record.ms());
        int lost = 0;
        for (Map.Entry<String, Long> cut : cutMs.entrySet()) {
            String id = cut.getKey();
            Long began = beganMs.get(id);
            boolean waited = cut.getValue() > sentMs.get(id) + LOSS_SLACK_MS;
            boolean planned = cut.getValue() < termMs + GRACE_MS + 1_000;
            boolean timedOut = cut.getValue() >= sentMs.get(id) + TIMEOUT_MS;
            boolean atWork = began != null && began < cut.getValue();
            if (waited && planned && !timedOut && !atWork) {
                lost++;
                record.say("lost " + id + ": sent at " + sentMs.get(id) + ", connection ended at " + cut.getValue()
                        + ", " + (began == null ? "never run" : "began to run at " + began));
            }
        }
        record.say("requests: " + REQUESTS + "; answered: " + answered.size() + "; cut: " + cutMs.size()
                + "; cut while they waited for a slot: " + lost);
        return lost > 0 ? BROKEN : HELD;
    }

    private void send(final String id, final Mesh.Node node) {
        try {
            sentMs.put(id, record.add("sent request=" + id));
            Http answer = Http.call(
                    node.outbound,
                    "POST",
                    "/do/1",
                    Map.of("Host", "desk.example", "Request-Id", id, "Request-Deadline-Ms", String.valueOf(TIMEOUT_MS)),
                    "order".getBytes(),
                    TIMEOUT_MS + 500);
            record.add("answer request=" + id + " status=" + answer.status() + " " + answer.text().trim());
            answered.add(id);
        } catch (EOFException | java.net.SocketException exception) {
            cutMs.put(id, record.add("cut request=" + id + " " + exception));
        } catch (IOException exception) {
            record.add("failed request=" + id + " " + exception);
        }
    }
}
