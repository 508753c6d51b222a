package review;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A backend leaves by DELETE, as some do; its node acknowledges that. The node is killed and started again. A heartbeat
 * that the backend had sent before it left arrives late. Does the backend get requests again?
 */
final class ForgottenDeparture extends Case {

    private static final int DRAIN_MS = 2_500;
    private static final int CONTACT_MS = 4_000;

    /** How late the heartbeat arrives. */
    private static final int LATE_MS = 4_500;

    /** How long the backend serves after its departure was acknowledged. */
    private static final int SERVES_ON_MS = 10_000;

    public static void main(final String[] arguments) {
        main(new ForgottenDeparture());
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
        AtomicLong acknowledgedMs = new AtomicLong(Long.MAX_VALUE / 2);
        AtomicLong inTouchMs = new AtomicLong(0);
        Set<String> late = ConcurrentHashMap.newKeySet();
        Backend backendA = new Backend("i-a", "front", "v1", a.app, a.control, 9, request -> 50, record);
        Backend backendC = new Backend("i-c", "desk", "v1", c.app, c.control, 9, request -> 50, record);
        Backend backendB = new Backend(
                "i-b",
                "desk",
                "v1",
                b.app,
                b.control,
                9,
                request -> {
                    long ms = record.ms();
                    if (ms > acknowledgedMs.get() + DRAIN_MS && ms > inTouchMs.get()) {
                        late.add(request.headers().get("Request-Id"));
                    }
                    return 50;
                },
                record);
        List.of(backendA, backendB, backendC).forEach(Backend::startBeats);
        Backend.sleep(2_500);
        Load load = new Load(record, a.outbound);
        load.start("GET", "desk.example", "/get/1", 40, 2_000);
        load.start("POST", "desk.example", "/do/1", 40, 2_000);
        Backend.sleep(3_000);

        backendB.stopBeats();
        Backend.sleep(Backend.HEARTBEAT_MS);
        String heldBeat = backendB.nextBeat("ready");
        long heldMs = record.add("beat of i-b is under way: " + heldBeat);
        Backend.sleep(100);
        int left = backendB.leave();
        if (left != 200) {
            record.say("the departure was answered " + left);
            return NOT_RUN;
        }
        acknowledgedMs.set(record.add("departure of i-b acknowledged"));
        if (trouble) {
            Backend.sleep(100);
            mesh.signal(b, "KILL");
            mesh.awaitEnd(b);
            Backend.sleep(300);
            mesh.start(b);
            inTouchMs.set(record.ms() + CONTACT_MS);
        }
        Backend.sleep(heldMs + LATE_MS - record.ms());
        try {
            record.add("late beat of i-b arrives, answered " + backendB.deliver(heldBeat));
        } catch (java.io.IOException exception) {
            record.say("the late beat could not be delivered: " + exception);
            return NOT_RUN;
        }
        Backend.sleep(acknowledgedMs.get() + SERVES_ON_MS - record.ms());
        backendB.close();
        record.add("i-b has ended");
        Backend.sleep(1_000);
        load.stop();
        mesh.copyLog("\"event\":\"target\"");
        mesh.copyLog("\"event\":\"announcement-ignored\"");
        record.say("requests that reached i-b more than " + DRAIN_MS
                + " ms after its departure was acknowledged, sent by machines in touch: " + late.size());
        return late.isEmpty() ? HELD : BROKEN;
    }
}
