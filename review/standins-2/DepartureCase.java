import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A backend leaves by DELETE just after the process of its node was restarted, while the node is cut off from the
 * store. Checks that no request reaches the backend later than DrainMs after the acknowledgement.
 */
final class DepartureCase {

    private static final long DRAIN_MS = 2_500;
    private static final long CONTACT_MS = 4_000;
    private static final long CUT_MS = 11_500;
    private static final long STAY_MS = 16_000;
    private static final long RESTART_MS = 300;
    private static final int CLIENTS = 20;

    /** Time from the start of the node to the first heartbeat that it gets: less than the period of heartbeats. */
    private static final long FIRST_BEAT_MS = 1_250;

    private DepartureCase() {}

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
            record.violations().stream().limit(5).forEach(System.out::println);
        }
        Runtime.getRuntime().halt(code);
    }

    private static int run(final Record record, final Mesh mesh, final boolean trouble) throws Exception {
        mesh.configure(
                1,
                List.of(Mesh.route("lookup", "/lookup/", "registry-desk", "idempotent")),
                "registry-desk",
                "press-floor");
        Node left = mesh.addNode("sidecar-ha-noi-a-1", "ha-noi-a", "bac-bo", "registry-desk", 40);
        mesh.addNode("sidecar-ha-noi-a-2", "ha-noi-a", "bac-bo", "registry-desk", 40);
        Node entry = mesh.addNode("sidecar-hai-phong-b-1", "hai-phong-b", "bac-bo", "press-floor", 40);
        mesh.addNode("sidecar-hai-phong-b-2", "hai-phong-b", "bac-bo", "registry-desk", 40);
        mesh.start();
        AtomicBoolean ended = new AtomicBoolean();
        for (int client = 0; client < CLIENTS; client++) {
            String prefix = "c" + client + "-";
            Thread clients = new Thread(() -> sendAlways(record, entry, prefix, ended), "client-" + client);
            clients.setDaemon(true);
            clients.start();
        }
        Thread.sleep(6_000);
        if (mesh.target(left.name()).arrivals().isEmpty()) {
            record.log("the backend got no requests before");
            return 2;
        }
        mesh.setBeating(left.name(), false);
        if (trouble) {
            left.signal("KILL");
            left.awaitEnd(2_000);
            Thread.sleep(RESTART_MS);
            left.start();
        }
        long endMs = record.nowMs() + 8_000;
        while (!left.isReady()) {
            if (record.nowMs() > endMs) {
                record.log("the restarted node is not ready");
                return 2;
            }
            Thread.sleep(20);
        }
        Thread.sleep(FIRST_BEAT_MS);
        long cutMs = record.nowMs();
        if (trouble) {
            mesh.store().setCut(left.name(), true);
        }
        Thread.sleep(100);
        int beat = mesh.target(left.name()).beat(left.control(), "ready");
        Thread.sleep(200);
        int acknowledged = mesh.target(left.name()).leave(left.control());
        long leftMs = record.nowMs();
        if (beat / 100 != 2 || acknowledged / 100 != 2) {
            record.log("no acknowledgement");
            return 2;
        }
        long reachableMs = cutMs + CUT_MS;
        Thread.sleep(Math.max(0, reachableMs - record.nowMs()));
        if (trouble) {
            mesh.store().setCut(left.name(), false);
        }
        Thread.sleep(Math.max(0, leftMs + STAY_MS - record.nowMs()));
        ended.set(true);
        long inTouchMs = trouble ? reachableMs + CONTACT_MS : leftMs;
        long late = 0;
        long lateInTouch = 0;
        for (Target.Arrival arrival : mesh.target(left.name()).arrivals()) {
            if (arrival.atMs() > leftMs + DRAIN_MS) {
                late++;
                lateInTouch += arrival.atMs() >= inTouchMs ? 1 : 0;
            }
        }
        record.log(
                "acknowledged at %d; later than DrainMs after it: %d requests, of them %d while the node of the backend"
                        + " was in touch",
                leftMs,
                late,
                lateInTouch);
        System.out.printf("later than DrainMs: %d, while the backend's node was in touch: %d%n", late, lateInTouch);
        if (lateInTouch > 0) {
            record.violation("DRAIN: %d requests reached the backend that had left", lateInTouch);
        }
        return lateInTouch > 0 ? 1 : 0;
    }

    private static void sendAlways(
            final Record record, final Node entry, final String prefix, final AtomicBoolean ended) {
        int number = 0;
        while (!ended.get()) {
            number++;
            String requestId = String.format("%s%06d", prefix, number);
            Client.send(record, entry.outbound(), "GET", Mesh.HOST, "/lookup/" + number, requestId, 2_500, "");
            try {
                Thread.sleep(20);
            } catch (InterruptedException exception) {
                return;
            }
        }
    }
}
