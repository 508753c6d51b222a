package org.sequoiashunt.trial.execution;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.random.RandomGenerator;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Reason;

/**
 * Callers of a model: send keyed requests, resend them at other entries within the time that the retention allows, and
 * dispatch what may be dispatched.
 *
 * <p>Confined to one thread.
 */
final class ModelCallers {

    private static final String SERVICE = "ledger";
    private static final int LONGEST_SENDS = 5;
    private static final long LONGEST_CALL_MS = 900;
    private static final int STATUS_OK = 200;

    private final ClaimModel world;
    private final RandomGenerator random;
    private final ModelHistory history;
    private int nextKey;
    private int nextAttempt;

    ModelCallers(final ClaimModel world, final ModelHistory history) {
        this.world = world;
        this.random = world.random();
        this.history = history;
    }

    /** Starts a new key with its resends. */
    void startKey() {
        String key = (random.nextInt(4) == 0 ? "east:" : "") + "key" + nextKey++;
        int sends = 1 + random.nextInt(LONGEST_SENDS);
        world.later(0, () -> send(key));
        for (int count = 1; count < sends; count++) {
            boolean crossing = random.nextInt(3) == 0;
            int spanMs = crossing ? 200 : (int) ClaimModel.TIMING.resendMs();
            world.later(random.nextInt(spanMs), () -> send(key));
        }
    }

    private void send(final String key) {
        List<ModelNode> nodes = world.nodes();
        ModelNode entry = nodes.get(random.nextInt(nodes.size()));
        history.asked(key);
        entry.run(() -> claim(entry, key));
    }

    private void claim(final ModelNode entry, final String key) {
        String attempt = "attempt" + nextAttempt++;
        long deadlineMs = entry.clock().nowMs() + LONGEST_CALL_MS + random.nextInt(1_000);
        var coordinator = entry.coordinator();
        coordinator.claim(SERVICE, key, attempt, deadlineMs).thenAccept(refusal -> {
            if (refusal.isPresent()) {
                history.told(key, attempt, refusal.get());
                return;
            }
            long delayMs = random.nextInt(5) == 0 ? random.nextInt(500) : 0;
            world.later(
                    delayMs,
                    () -> entry.run(() -> {
                        if (entry.coordinator() == coordinator) {
                            dispatch(entry, key, attempt);
                        }
                    }));
        });
    }

    private void dispatch(final ModelNode entry, final String key, final String attempt) {
        if (!entry.coordinator().beginDispatch(SERVICE, key, attempt)) {
            history.told(key, attempt, CallResult.unknown(Reason.DEADLINE));
            return;
        }
        if (random.nextInt(8) == 0) {
            end(entry, key, attempt, CallResult.notRun(Reason.QUEUE_FULL));
            return;
        }
        history.ran(key, attempt, world.nowMs());
        CallResponse answer = new CallResponse(STATUS_OK, List.of(), Body.of(attempt.getBytes(StandardCharsets.UTF_8)));
        boolean lost = random.nextInt(6) == 0;
        CallResult result = lost ? CallResult.unknown(Reason.CONNECTION_FAILED) : CallResult.complete(answer);
        var coordinator = entry.coordinator();
        world.later(
                random.nextInt(400),
                () -> entry.run(() -> {
                    if (entry.coordinator() == coordinator) {
                        end(entry, key, attempt, result);
                    }
                }));
    }

    private void end(final ModelNode entry, final String key, final String attempt, final CallResult result) {
        entry.coordinator().record(SERVICE, key, attempt, result);
        history.told(key, attempt, result);
    }
}
