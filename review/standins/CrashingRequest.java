package review;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A request crashes each backend that begins to run it; the backends are back after some seconds. Clients send the same
 * request again, each time with an identity of its own. How often does it still reach backends?
 */
final class CrashingRequest extends Case {

    private static final int CONTACT_MS = 4_000;
    private static final int DOWN_MS = 2_500;
    private static final int ALLOWED_RETRIES = 3;
    private static final int CRASHES_TO_KNOW = 3;
    private static final String PATH = "/get/poison";

    private int crashes;
    private long knownMs = Long.MAX_VALUE / 2;
    private final Set<String> retries = new HashSet<>();


    public static void main(final String[] arguments) {
        main(new CrashingRequest());
    }

    @Override
    int run() throws Exception {
        Mesh.Node a = mesh.add("n-a", "127.0.1.1", "z1", "r1", "front");
        Mesh.Node b = mesh.add("n-b", "127.0.1.2", "z1", "r1", "desk");
        Mesh.Node c = mesh.add("n-c", "127.0.1.3", "z1", "r1", "desk");
        store.operatorPut(
                "op/config",
                new Config()
                        .service("front")
                        .service("desk")
                        .route("get", "desk.example", "/get/", true, 2_000, 400, 1, 2, "desk")
                        .route("do", "desk.example", "/do/", false, 2_000, 400, 0, 2, "desk")
                        .version(3));
        for (Mesh.Node node : List.of(a, b, c)) {
            mesh.start(node);
        }
        for (Mesh.Node node : List.of(a, b, c)) {
            mesh.awaitReady(node, 20_000);
        }
        startBackend(a, "front", 1);
        startBackend(b, "desk", 1);
        startBackend(c, "desk", 1);
        Backend.sleep(2_500);
        Load others = new Load(record, a.outbound);
        others.start("POST", "desk.example", "/do/1", 50, 2_000);
        Backend.sleep(2_000);
        Load poison = new Load(record, a.outbound);
        for (int attempt = 0; attempt < 24; attempt++) {
            poison.send("GET", "desk.example", PATH, 2_000);
            Backend.sleep(2_000);
        }
        others.stop();
        Backend.sleep(500);
        record.say("crashes: " + crashes + "; retries of the request that reached backends more than " + CONTACT_MS
                + " ms after its third crash: " + retries.size());
        return retries.size() > ALLOWED_RETRIES ? BROKEN : HELD;
    }

    private void startBackend(final Mesh.Node node, final String service, final int life) throws Exception {
        String id = "i-" + node.name + "-" + life;
        Backend backend = new Backend(id, service, "v1", node.app, node.control, 9, this::work, record);
        backend.onCrash(() -> Backend.daemon("restart-" + id, () -> {
            Backend.sleep(DOWN_MS);
            try {
                startBackend(node, service, life + 1);
                record.add("back backend=i-" + node.name + "-" + (life + 1));
            } catch (Exception exception) {
                record.add("backend of " + node.name + " could not start: " + exception);
            }
        }));
        backend.startBeats();
    }

    private synchronized int work(final Http request) {
        boolean crashing = request.path().equals(PATH) && request.method().equals("GET");
        if (!crashing || !trouble) {
            return 100;
        }
        long ms = record.ms();
        if (ms > knownMs + CONTACT_MS) {
            retries.add(request.headers().get("Request-Id"));
        }
        crashes++;
        if (crashes == CRASHES_TO_KNOW) {
            knownMs = ms;
        }
        return -1;
    }
}
