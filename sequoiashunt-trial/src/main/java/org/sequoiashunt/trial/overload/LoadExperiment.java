package org.sequoiashunt.trial.overload;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Outcome;

/**
 * Replays a load over the decisions of a small mesh: arrivals and services come from a seed, links only take time, and
 * callers come back as told. The same seed gives the same figures. Confined to one thread.
 */
final class LoadExperiment {

    private static final long LENGTH_MS = 30_000;

    /** Time for the last requests to end. */
    private static final long TAIL_MS = 4_000;

    private static final long REPORT_MS = 500;
    private static final long TICK_MS = 50;
    private static final double MS_PER_SECOND = 1_000;
    private static final int GOOD = 200;

    /** One way between a caller and its node, in milliseconds. */
    private static final long CALLER_MS = 8;

    /** Callers wait as told for up to this part of the time that they have left. */
    private static final double HEEDED_PART = 1.0 / 3;

    /** How many times as often an impatient caller tries again. */
    private static final int STORM_FACTOR = 3;

    /** A caller that is told nothing tries again after this time. */
    private static final long UNTOLD_MS = 50;

    /** Callers wait for up to this part less than their route's deadline. */
    private static final double PATIENCE_SPREAD = 0.15;

    /** Height and length of the ordinary waves of arrivals. */
    private static final double SWING = 0.15;

    private static final double WAVE_MS = 11_000;

    private final LoadScenario scenario;
    private final Random random;
    private final EventQueue events = new EventQueue();
    private final SimulatedLinks links;
    private final LoadStatistics tally = new LoadStatistics();
    private final List<SimulatedTarget> targets = new ArrayList<>();
    private final boolean forgetful;
    private long requests;

    private LoadExperiment(final LoadScenario scenario, final long seed, final boolean forgetful) {
        this.scenario = scenario;
        this.links = new SimulatedLinks(events, scenario.aged());
        this.forgetful = forgetful;
        this.random = new Random(seed);
    }

    /**
     * Runs an experiment.
     *
     * @param scenario the deployment and its load, not null.
     * @param seed where arrivals and services come from.
     * @return what became of the requests, never null.
     */
    static LoadStatistics run(final LoadScenario scenario, final long seed) {
        return new LoadExperiment(scenario, seed, false).run();
    }

    /**
     * Runs an experiment whose callers state their whole time again when they come back, so that none is recognised.
     *
     * @param scenario the deployment and its load, not null.
     * @param seed where arrivals and services come from.
     * @return what became of the requests, never null.
     */
    static LoadStatistics runWithForgetfulCallers(final LoadScenario scenario, final long seed) {
        return new LoadExperiment(scenario, seed, true).run();
    }

    private LoadStatistics run() {
        build();
        events.runUntil(LENGTH_MS);
        countSlots();
        events.runUntil(LENGTH_MS + TAIL_MS);
        return tally;
    }

    private void build() {
        for (int index = 0; index < scenario.targets().size(); index++) {
            SimulatedTarget target = new SimulatedTarget(
                    events, scenario, index, new Random(random.nextLong()), tally.arrivals(), this::nested);
            targets.add(target);
            SimulatedNode node =
                    new SimulatedNode(events, index, scenario, target, links, tally, new Random(random.nextLong()));
            links.add(node);
            target.stateLoadTo(node::recordStatedLoad);
            every(REPORT_MS, random.nextInt((int) REPORT_MS), () -> links.report(node));
            every(TICK_MS, random.nextInt((int) TICK_MS), node::tick);
        }
        if (scenario.aged()) {
            every(TICK_MS, TICK_MS, () -> tally.balance().sample(states(), TICK_MS));
        }
        scenario.routes().stream().filter(route -> route.perSecond() > 0).forEach(this::nextArrival);
    }

    private List<BalanceStatistics.TargetState> states() {
        return links.nodes().stream().map(SimulatedNode::state).toList();
    }

    private void countSlots() {
        for (int index = 0; index < targets.size(); index++) {
            tally.busy(
                    scenario.targets().get(index).service(), targets.get(index).busyShare());
        }
    }

    private void every(final long periodMs, final long delayMs, final Runnable task) {
        events.after(delayMs, () -> {
            task.run();
            every(periodMs, periodMs, task);
        });
    }

    private void nextArrival(final LoadRoute route) {
        double wave = 1 + SWING * Math.sin(2 * Math.PI * events.nowMs() / WAVE_MS);
        double perMs =
                route.perSecond() / MS_PER_SECOND * wave * scenario.pattern().arrivals(events.nowMs());
        double gapMs = -Math.log(1 - random.nextDouble()) / perMs;
        long delayMs = (long) gapMs + (random.nextDouble() < gapMs - Math.floor(gapMs) ? 1 : 0);
        events.after(delayMs, () -> {
            if (events.nowMs() < LENGTH_MS) {
                tally.asked(route, events.nowMs());
                int node = random.nextInt(links.nodes().size());
                long patienceMs = Math.round(route.deadlineMs() * (1 - PATIENCE_SPREAD * random.nextDouble()));
                attempt(new CallerRequest(route, node, events.nowMs(), patienceMs, 0, false));
                nextArrival(route);
            }
        });
    }

    private void attempt(final CallerRequest asked) {
        SimulatedNode node = links.nodes().get(asked.node());
        tally.arrivals().requested(asked.route().service(), events.nowMs());
        events.after(CALLER_MS, () -> {
            long deadlineMs = asked.startedMs() + asked.deadlineMs() + CALLER_MS;
            long statedMs = forgetful ? events.nowMs() + asked.deadlineMs() : deadlineMs;
            CompletableFuture<CallResult> result =
                    node.dispatch("r-" + requests++, asked.route().route(), statedMs);
            result.thenAccept(ended -> {
                long leftMs = deadlineMs - events.nowMs();
                long retryAfterMs = ended.outcome() == Outcome.NOT_RUN ? node.retryAfterMs(ended, leftMs) : 0;
                events.after(CALLER_MS, () -> ended(asked, ended, retryAfterMs));
            });
        });
    }

    private void ended(final CallerRequest asked, final CallResult result, final long retryAfterMs) {
        long durationMs = events.nowMs() - asked.startedMs();
        long leftMs = asked.deadlineMs() - durationMs;
        if (isGood(result) && leftMs >= 0) {
            tally.served(asked.route(), asked.startedMs(), durationMs);
            return;
        }
        boolean refused = result.outcome() == Outcome.NOT_RUN;
        boolean impatient = scenario.pattern().isImpatient(events.nowMs(), random.nextDouble());
        int retries = asked.route().retries() * (impatient ? STORM_FACTOR : 1);
        boolean again = asked.tries() < retries && (refused || asked.route().idempotent());
        long waitMs = impatient ? 1 : Math.max(UNTOLD_MS, Math.min(retryAfterMs, (long) (leftMs * HEEDED_PART)));
        if (again && leftMs > waitMs + 2 * CALLER_MS) {
            events.after(waitMs, () -> attempt(asked.again(refused)));
        } else if (refused) {
            tally.refused(asked.route(), asked.cameBack());
        } else {
            tally.failed(asked.route());
        }
    }

    private static boolean isGood(final CallResult result) {
        return result.response().filter(answer -> answer.status() == GOOD).isPresent();
    }

    private CompletableFuture<Boolean> nested(final SimulatedTarget.Nested call) {
        LoadRoute route = scenario.route(call.route());
        String id = "c-" + requests++;
        tally.arrivals().requested(route.service(), events.nowMs());
        if (call.ofRepetition()) {
            tally.arrivals().calledByRepetition(id);
        }
        long deadlineMs = Math.min(call.deadlineMs(), events.nowMs() + route.deadlineMs());
        return links.nodes()
                .get(call.target())
                .dispatch(id, route.route(), deadlineMs)
                .thenApply(ended -> {
                    boolean served = isGood(ended) && events.nowMs() <= deadlineMs;
                    if (!served) {
                        tally.parentLost();
                    }
                    return served;
                });
    }

    /** One request of a caller and how often it was tried. Immutable. */
    private record CallerRequest(
            LoadRoute route, int node, long startedMs, long deadlineMs, int tries, boolean cameBack) {

        private CallerRequest again(final boolean refused) {
            return new CallerRequest(route, node, startedMs, deadlineMs, tries + 1, cameBack || refused);
        }
    }
}
