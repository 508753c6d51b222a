import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The settings files of machines change without a signal while their node processes start. Checks that backends get
 * each request with the service of the machine where it began.
 */
final class SettingsCase {

    /** Times after the start of a process at which its settings file changes; one of them meets a start of any speed. */
    private static final long[] CHANGE_AFTER_START_MS = {60, 110, 200, 380, 700};

    private static final String FIRST_SERVICE = "registry-desk";
    private static final String LATER_SERVICE = "press-floor";
    private static final long SETTLE_MS = 6_000;
    private static final int REQUESTS = 10;
    private static final int UNCHANGED_NODES = 3;

    private SettingsCase() {}

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
        mesh.configure(
                1,
                List.of(Mesh.route("lookup", "/lookup/", FIRST_SERVICE, "idempotent")),
                FIRST_SERVICE,
                LATER_SERVICE);
        mesh.addNode("sidecar-ha-noi-a-0", "ha-noi-a", "bac-bo", FIRST_SERVICE, 10);
        for (int index = 1; index <= UNCHANGED_NODES; index++) {
            mesh.addNode("sidecar-hai-phong-b-" + index, "hai-phong-b", "bac-bo", LATER_SERVICE, 10);
        }
        mesh.start();
        List<Node> changed = new ArrayList<>();
        for (int index = 0; index < CHANGE_AFTER_START_MS.length; index++) {
            Node node = mesh.addNode("sidecar-ha-noi-a-" + (index + 1), "ha-noi-a", "bac-bo", FIRST_SERVICE, 10);
            changed.add(node);
            node.start();
            Thread.sleep(CHANGE_AFTER_START_MS[index]);
            if (trouble) {
                node.changeService(LATER_SERVICE);
            }
            Thread.sleep(1_500 - CHANGE_AFTER_START_MS[index]);
        }
        Thread.sleep(SETTLE_MS);
        int broken = 0;
        for (Node node : changed) {
            String expected = trouble ? LATER_SERVICE : FIRST_SERVICE;
            Set<String> seen = new TreeSet<>();
            int answered = 0;
            for (int number = 0; number < REQUESTS; number++) {
                String requestId = node.name() + "-" + number;
                Http answer = Client.send(
                        record, node.outbound(), "GET", Mesh.HOST, "/lookup/" + number, requestId, 2_500, "");
                answered += answer != null && answer.status() == 200 ? 1 : 0;
                for (Target.Arrival arrival : mesh.target("sidecar-ha-noi-a-0").arrivals()) {
                    if (arrival.requestId().equals(requestId)) {
                        seen.add(arrival.fields().getOrDefault("caller-service", "none"));
                    }
                }
            }
            record.log("%s, service %s: answered %d of %d, Caller-Service %s", node.name(), expected, answered, REQUESTS, seen);
            if (answered == 0) {
                return 2;
            }
            if (!seen.equals(Set.of(expected))) {
                broken++;
                record.violation("%s runs %s, but backends got Caller-Service %s", node.name(), expected, seen);
            }
        }
        return broken > 0 ? 1 : 0;
    }
}
