package org.sequoiashunt.trial.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.configuration.ServiceConfiguration;

/**
 * Requests of a trial: Poisson arrivals, the less loaded of two targets drawn at random, log-normal latencies that grow
 * with the load above the slots, and the effect of the world on each.
 *
 * <p>Confined to one thread.
 */
final class TrialTraffic {

    private static final double USUAL_FAILURE_RATE = 0.001;
    private static final double LATENCY_SPREAD = 0.4;
    private static final long DEADLINE_MS = 1_000;
    private static final long FAULT_NOTICE_MS = 2_000;
    private static final int FAILED_STATUS = 500;
    private static final int SUCCESS_STATUS = 200;

    private final Workload workload;
    private final ServiceConfiguration configuration;
    private final boolean faulty;
    private final VersionKind.Behaviour behaviour;
    private final List<TrialNode> nodes;
    private final long startMs;
    private final SplittableRandom random;
    private final List<TrialTarget> oldTargets = new ArrayList<>();
    private final List<TrialTarget> newTargets = new ArrayList<>();
    private final PriorityQueue<Running> running = new PriorityQueue<>();
    private long shownMs = -1;
    private long requests;
    private long requestsBefore;
    private long newBefore;
    private long newAfter;
    private long newAfterNotice;

    TrialTraffic(
            final Workload workload,
            final ServiceConfiguration configuration,
            final boolean faulty,
            final VersionKind.Behaviour behaviour,
            final List<TrialNode> nodes,
            final long startMs,
            final SplittableRandom random) {
        this.workload = workload;
        this.configuration = configuration;
        this.faulty = faulty;
        this.behaviour = behaviour;
        this.nodes = nodes;
        this.startMs = startMs;
        this.random = random;
        nodes.forEach(node -> {
            oldTargets.add(new TrialTarget());
            newTargets.add(new TrialTarget());
        });
    }

    /**
     * Ends what is due and begins the requests that arrive.
     *
     * @param nowMs the current time in milliseconds.
     * @param stepMs the time since the last step, in milliseconds.
     */
    void step(final long nowMs, final long stepMs) {
        while (!running.isEmpty() && running.peek().endMs() <= nowMs) {
            end(running.remove());
        }
        double chance = Math.exp(-workload.requestsPerSecond() * stepMs / 1_000.0);
        for (double product = random.nextDouble(); product > chance; product *= random.nextDouble()) {
            begin(nowMs);
        }
    }

    /** Returns what happened, with what the trial adds; see {@link TrialResult}. */
    TrialResult result(
            final boolean done,
            final boolean inTime,
            final boolean takenBack,
            final long takenBackMs,
            final String reason) {
        return new TrialResult(
                done,
                inTime,
                takenBack,
                shownMs < 0 ? OptionalLong.empty() : OptionalLong.of(shownMs - startMs),
                takenBack ? OptionalLong.of(takenBackMs) : OptionalLong.empty(),
                requestsBefore,
                newBefore,
                newAfter,
                newAfterNotice,
                requests,
                reason);
    }

    private void begin(final long nowMs) {
        TrialNode entry = nodes.get(random.nextInt(nodes.size()));
        boolean newVersion = entry.shares().chooseVersion(configuration, random).equals(RolloutTrial.TO);
        List<TrialTarget> targets = newVersion ? newTargets : oldTargets;
        int number = choose(targets);
        TrialTarget target = targets.get(number);
        TrialRoute route = TrialRoute.draw(random);
        double fullRatePerMs = workload.requestsPerSecond() / 1_000.0 / workload.targets();
        RequestContext context = new RequestContext(
                nowMs - startMs, route, newVersion, number, target.calls(), target.ratePerMs(nowMs) / fullRatePerMs);
        RequestEffect effect = behaviour.effect(context);
        boolean affected = meets(effect);
        count(nowMs, newVersion, newVersion && affected && faulty);
        target.begin(nowMs);
        double load = Math.max(1, target.running() / (double) workload.slots());
        double latencyMs =
                route.medianMs() * Math.exp(LATENCY_SPREAD * random.nextGaussian()) * effect.latencyFactor() * load;
        boolean failed = affected && effect.failureRate() > 0 || random.nextDouble() < USUAL_FAILURE_RATE;
        long takenMs = Math.min(DEADLINE_MS, Math.round(latencyMs));
        CallResult result = result(failed, latencyMs > DEADLINE_MS);
        running.add(new Running(nowMs + takenMs, takenMs, entry, number, newVersion, route, result));
    }

    private boolean meets(final RequestEffect effect) {
        return effect.failureRate() > 0 ? random.nextDouble() < effect.failureRate() : effect.latencyFactor() > 1;
    }

    private static CallResult result(final boolean failed, final boolean late) {
        if (late) {
            return CallResult.unknown(Reason.DEADLINE);
        }
        return CallResult.complete(new CallResponse(failed ? FAILED_STATUS : SUCCESS_STATUS, List.of(), Body.EMPTY));
    }

    private int choose(final List<TrialTarget> targets) {
        int one = random.nextInt(targets.size());
        int other = random.nextInt(targets.size());
        return targets.get(one).running() <= targets.get(other).running() ? one : other;
    }

    private void count(final long nowMs, final boolean newVersion, final boolean faultMet) {
        requests++;
        if (shownMs < 0 && !faultMet) {
            requestsBefore++;
            newBefore += newVersion ? 1 : 0;
            return;
        }
        shownMs = shownMs < 0 ? nowMs : shownMs;
        newAfter += newVersion ? 1 : 0;
        newAfterNotice += newVersion && nowMs - shownMs > FAULT_NOTICE_MS ? 1 : 0;
    }

    private void end(final Running call) {
        (call.newVersion() ? newTargets : oldTargets).get(call.target()).end();
        String version = call.newVersion() ? RolloutTrial.TO : RolloutTrial.FROM;
        TrialNode gate = nodes.get(call.target());
        String route = call.route().routeName();
        gate.ledger().record(workload.service(), version, route, call.result(), call.latencyMs());
        call.entry()
                .detector()
                .record(gate.name(), workload.service(), version, route, call.result(), call.latencyMs());
    }

    /** Request that a target runs. Immutable. */
    private record Running(
            long endMs,
            long latencyMs,
            TrialNode entry,
            int target,
            boolean newVersion,
            TrialRoute route,
            CallResult result)
            implements Comparable<Running> {

        @Override
        public int compareTo(final Running other) {
            return Long.compare(endMs, other.endMs);
        }
    }
}
