package review;

import java.util.List;
import java.util.Random;

/**
 * The operator orders a rollout. The machine that runs it is lost for good. Then the new version turns bad. Is it rolled
 * back?
 */
final class OrphanedRollout extends Case {

    private static final int ROLLBACK_MS = 5_000;
    private static final int BAD_ANSWERS = 50;
    private static final int DURATION_S = 14;
    private static final double BAD_SHARE = 0.5;

    private final Random random = new Random(1);
    private volatile boolean bad;
    private int badAnswers;
    private long fiftiethBadMs = Long.MAX_VALUE / 2;
    private int late;

    public static void main(final String[] arguments) {
        main(new OrphanedRollout());
    }

    @Override
    int run() throws Exception {
        Mesh.Node a = mesh.add("sidecar-1", "127.0.1.1", "z1", "r1", "front", "0.75", "2");
        Mesh.Node b = mesh.add("sidecar-10", "127.0.1.2", "z1", "r1", "front", "0.3", "1");
        Mesh.Node c = mesh.add("sidecar-2", "127.0.1.3", "z1", "r1", "desk", "0.75", "2");
        Mesh.Node d = mesh.add("sidecar-3", "127.0.1.4", "z1", "r1", "desk", "0.75", "2");
        Mesh.Node e = mesh.add("sidecar-11", "127.0.1.5", "z1", "r1", "desk", "0.3", "1");
        Mesh.Node f = mesh.add("sidecar-12", "127.0.1.6", "z1", "r1", "desk", "0.3", "1");
        List<Mesh.Node> nodes = List.of(a, b, c, d, e, f);
        store.operatorPut(
                "op/config",
                new Config()
                        .service("front")
                        .service("desk")
                        .route("get", "desk.example", "/get/", true, 2_000, 400, 1, 2, "desk")
                        .version(3));
        for (Mesh.Node node : nodes) {
            mesh.start(node);
        }
        for (Mesh.Node node : nodes) {
            mesh.awaitReady(node, 20_000);
        }
        Backend.Work good = request -> 40;
        new Backend("i-a", "front", "v1", a.app, a.control, 18, good, record).startBeats();
        new Backend("i-b", "front", "v1", b.app, b.control, 18, good, record).startBeats();
        new Backend("i-c", "desk", "v1", c.app, c.control, 18, good, record).startBeats();
        new Backend("i-d", "desk", "v1", d.app, d.control, 18, good, record).startBeats();
        Backend.sleep(3_000);
        Load load = new Load(record, b.outbound);
        load.start("GET", "desk.example", "/get/1", 8, 2_000);
        Backend.sleep(2_000);

        record.add("rollout ordered");
        long orderedMs = record.ms();
        store.operatorPut(
                "op/rollout/desk", Json.map("Service", "desk", "TargetVersion", "v2", "DurationS", DURATION_S));
        new Backend("i-e", "desk", "v2", e.app, e.control, 18, newVersion(), record).startBeats();
        new Backend("i-f", "desk", "v2", f.app, f.control, 18, newVersion(), record).startBeats();
        // The new version has 15% of the requests from 0.42 of the duration on, and 30% from 0.52 on.
        Backend.sleep(orderedMs + 7_600 - record.ms());
        if (trouble) {
            mesh.signal(a, "KILL");
            mesh.awaitEnd(a);
        }
        Backend.sleep(orderedMs + 9_000 - record.ms());
        record.add("the new version turns bad");
        bad = true;
        Backend.sleep(orderedMs + 28_000 - record.ms());
        load.stop();
        Backend.sleep(500);
        mesh.copyLog("\"event\":\"move\"");
        record.say("bad answers: " + badAnswers + "; status at the end: " + store.read("status/rollout/desk"));
        record.say("requests that reached the bad version more than " + ROLLBACK_MS + " ms after its " + BAD_ANSWERS
                + "th bad answer: " + late);
        return late > 0 ? BROKEN : HELD;
    }

    private Backend.Work newVersion() {
        return new Backend.Work() {
            @Override
            public int ms(final Http request) {
                synchronized (OrphanedRollout.this) {
                    if (record.ms() > fiftiethBadMs + ROLLBACK_MS) {
                        late++;
                    }
                }
                return 40;
            }

            @Override
            public boolean fails(final Http request) {
                synchronized (OrphanedRollout.this) {
                    boolean fails = bad && random.nextDouble() < BAD_SHARE;
                    if (fails) {
                        badAnswers++;
                        if (badAnswers == BAD_ANSWERS) {
                            fiftiethBadMs = record.ms();
                        }
                    }
                    return fails;
                }
            }
        };
    }
}
