package org.sequoiashunt.trial.overload;

import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.call.TargetCaller;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.slot.StatedLoad;

/** Target that runs requests for as long as their work takes, and makes their calls. Confined to one thread. */
final class SimulatedTarget implements TargetCaller {

    private static final int OK = 200;
    private static final int FAILED = 500;

    /** Share of the slots above which a target slows down, and by how much when full. */
    private static final double CROWDED = 0.75;

    private static final double CROWDED_FACTOR = 0.25;

    /** Share of the answers that state the pace of the VM, and how far single readings are off. */
    private static final double PACE_STATED = 0.7;

    private static final double PACE_NOISE = 0.3;
    private static final double PERCENT = 100;

    private final EventQueue events;
    private final LoadScenario scenario;
    private final int index;
    private final Random random;
    private final ArrivalCounts arrivals;
    private final Function<Nested, CompletableFuture<Boolean>> nested;
    private Consumer<StatedLoad> statedLoads = load -> {};
    private int running;
    private long countedMs;
    private long busyMs;

    SimulatedTarget(
            final EventQueue events,
            final LoadScenario scenario,
            final int index,
            final Random random,
            final ArrivalCounts arrivals,
            final Function<Nested, CompletableFuture<Boolean>> nested) {
        this.events = events;
        this.scenario = scenario;
        this.index = index;
        this.random = random;
        this.arrivals = arrivals;
        this.nested = nested;
    }

    /** Sets the receiver of the loads that the target states with its answers. */
    void stateLoadTo(final Consumer<StatedLoad> receiver) {
        statedLoads = receiver;
    }

    @Override
    public CompletableFuture<CallResult> call(final NodeAddress address, final CallRequest request) {
        CompletableFuture<CallResult> result = new CompletableFuture<>();
        String id = request.headers().get(0).value();
        boolean repetition = arrivals.arrived(request.service(), id, events.nowMs());
        if (random.nextDouble() < scenario.pattern().refusedShare(events.nowMs(), index)) {
            events.after(1, () -> result.complete(CallResult.notRun(Reason.SHED)));
            return result;
        }
        count(1);
        LoadRoute route = scenario.route(request.route());
        int calls = route.calls()
                .filter(each -> random.nextDouble() < each.share())
                .map(LoadRoute.Calls::times)
                .orElse(0);
        LoadScenario.Target target = scenario.targets().get(index);
        double crowding = Math.max(0, running / (double) target.slots() - CROWDED) / (1 - CROWDED);
        double workMs = route.workMs()
                * Math.exp(route.spread() * random.nextGaussian() - route.spread() * route.spread() / 2)
                * scenario.slowness(events.nowMs(), index)
                * (1 + CROWDED_FACTOR * crowding)
                / target.speed();
        events.after(Math.round(workMs), () -> callNext(new Run(request, route, repetition, result), calls));
        return result;
    }

    private void callNext(final Run run, final int left) {
        if (left == 0) {
            end(OK, run);
            return;
        }
        String called = run.route().calls().orElseThrow().route();
        nested.apply(new Nested(index, called, run.request().deadlineMs(), run.repetition()))
                .thenAccept(served -> {
                    if (served) {
                        callNext(run, left - 1);
                    } else {
                        end(FAILED, run);
                    }
                });
    }

    private void end(final int status, final Run run) {
        count(-1);
        if (scenario.aged()) {
            stateLoad();
        }
        Body body = Body.of(new byte[run.route().answerBytes()]);
        run.result().complete(CallResult.complete(new CallResponse(status, List.of(), body)));
    }

    private void stateLoad() {
        double slowness = scenario.slowness(events.nowMs(), index);
        double pacePercent = random.nextDouble() < PACE_STATED
                ? PERCENT * slowness * Math.exp(PACE_NOISE * random.nextGaussian())
                : 0;
        int slots = scenario.targets().get(index).slots();
        statedLoads.accept(new StatedLoad(running, 0, slots, (int) Math.round(pacePercent)));
    }

    private void count(final int change) {
        busyMs += running * (events.nowMs() - countedMs);
        countedMs = events.nowMs();
        running += change;
    }

    /** Returns the share of the slots that were in use up to now. */
    double busyShare() {
        count(0);
        return busyMs / (double) (events.nowMs() * scenario.targets().get(index).slots());
    }

    /**
     * Call of a running request. Immutable and thread-safe.
     *
     * @param target the target that makes it.
     * @param route the route that is called.
     * @param deadlineMs the parent's deadline, in milliseconds.
     * @param ofRepetition whether the run was a repetition.
     */
    record Nested(int target, String route, long deadlineMs, boolean ofRepetition) {}

    /** One run. Immutable; confined to the thread of the experiment. */
    private record Run(
            CallRequest request, LoadRoute route, boolean repetition, CompletableFuture<CallResult> result) {}
}
