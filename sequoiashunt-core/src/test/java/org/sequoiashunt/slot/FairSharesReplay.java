package org.sequoiashunt.slot;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallUrgency;
import org.sequoiashunt.limit.RetryAfterPolicy;

/** Replays arrivals at one gate, with callers that come back as told, on a stepped clock. Not thread-safe. */
final class FairSharesReplay {

    static final int ORGANISATIONS = 74;
    private static final long END_MS = 60_000;
    private static final long DRAINED_MS = END_MS + 15_000;

    /** Route with the rate of its arrivals; a bursting route or organisation has its factor in 6 of 20 s. */
    record Route(
            String name,
            boolean organisations,
            int rank,
            double perSecond,
            double workMs,
            long objectiveMs,
            long deadlineMs,
            double worth,
            double lateWorth,
            int retries,
            double burst) {}

    record Load(String name, int slots, double scale, double hotFactor, List<Route> routes) {}

    /** Order under test; the objective or the deadline bounds the wait. */
    record Order(String name, boolean ranks, boolean fair, double overtakingShare, boolean untilDeadline) {}

    /** Offered and served worth of a route or an organisation. */
    static final class Tally {
        double offered;
        double served;

        double ratio() {
            return offered == 0 ? 1 : served / offered;
        }
    }

    private record Event(long atMs, long sequence, Runnable action) {}

    private final Load load;
    private final Order order;
    private final Random random;
    private final RetryAfterPolicy policy;
    private final SlotQueue queue;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::sequence));
    private final Map<String, TargetMovingAverages> averages = new TreeMap<>();
    private final Map<String, Runnable> refusals = new TreeMap<>();
    private final Map<String, Double> workMs = new TreeMap<>();
    final Tally all = new Tally();
    final Map<String, Tally> byRoute = new TreeMap<>();
    final Map<String, Tally> byOrganisation = new TreeMap<>();
    private long nowMs;
    private long sequence;

    FairSharesReplay(final Load load, final Order order, final long seed) {
        this.load = load;
        this.order = order;
        this.random = new Random(seed);
        this.policy = new RetryAfterPolicy(new Random(seed + 1));
        Comparator<WaitingCall> byArrival =
                Comparator.comparing(waiting -> waiting.request().callId());
        this.queue = order.ranks()
                ? new SlotQueue(load.slots(), order::fair, order.overtakingShare(), SlotQueue.ORDER)
                : new SlotQueue(load.slots(), () -> false, 1, byArrival);
    }

    FairSharesReplay run() {
        load.routes().forEach(this::scheduleArrivals);
        for (long tickMs = 0; tickMs < DRAINED_MS; tickMs += 20) {
            schedule(tickMs, () -> queue.removeLateCalls(nowMs).forEach(this::refuse));
        }
        while (!events.isEmpty()) {
            Event event = events.poll();
            nowMs = event.atMs();
            event.action().run();
            startCalls();
        }
        return this;
    }

    private void schedule(final long atMs, final Runnable action) {
        events.add(new Event(atMs, sequence++, action));
    }

    /** All random draws of arrivals are made before the replay, so that the orders compared see the same arrivals. */
    private void scheduleArrivals(final Route route) {
        double atMs = 0;
        double maximumFactor = Math.max(route.burst(), load.hotFactor());
        while (atMs < END_MS) {
            atMs -= Math.log(1 - random.nextDouble()) * 1_000 / (route.perSecond() * load.scale() * maximumFactor);
            // Cubing skews the sizes: the largest organisation has a quarter, the upper tenth half of the arrivals.
            int organisation = (int) (Math.pow(random.nextDouble(), 3) * ORGANISATIONS);
            boolean bursting = atMs % 20_000 >= 8_000 && atMs % 20_000 < 14_000;
            double factor =
                    !bursting ? 1 : organisation == 1 ? Math.max(load.hotFactor(), route.burst()) : route.burst();
            double drawnMs = Math.max(1, route.workMs() * (0.4 + 1.2 * random.nextDouble()));
            if (random.nextDouble() < factor / maximumFactor) {
                String name = route.organisations() ? "o-" + organisation : "";
                long arrivalMs = (long) atMs;
                schedule(arrivalMs, () -> arrive(route, name, drawnMs));
            }
        }
    }

    private void arrive(final Route route, final String organisation, final double drawnMs) {
        List<Tally> tallies = organisation.isEmpty()
                ? List.of(all, byRoute.computeIfAbsent(route.name(), unused -> new Tally()))
                : List.of(
                        all,
                        byRoute.computeIfAbsent(route.name(), unused -> new Tally()),
                        byOrganisation.computeIfAbsent(organisation, unused -> new Tally()));
        tallies.forEach(tally -> tally.offered += route.worth());
        attempt(route, organisation, drawnMs, tallies, nowMs, 0);
    }

    private void attempt(
            final Route route,
            final String organisation,
            final double drawnMs,
            final List<Tally> tallies,
            final long arrivalMs,
            final int retry) {
        long deadlineMs = arrivalMs + route.deadlineMs();
        if (nowMs >= deadlineMs) {
            return;
        }
        long boundMs = order.untilDeadline() ? deadlineMs : arrivalMs + route.objectiveMs();
        CallUrgency urgency = new CallUrgency(order.ranks() ? route.rank() : 0, boundMs);
        CallRequest request = new CallRequest(
                String.format("%012d", sequence++),
                "desk",
                route.name(),
                "v1",
                "t-1",
                "GET",
                "/",
                List.of(),
                Body.EMPTY,
                true,
                Optional.empty(),
                deadlineMs,
                urgency,
                false,
                organisation);
        long meanMs = averages.computeIfAbsent(route.name(), unused -> new TargetMovingAverages())
                .meanMs(route.name(), queue.meanMs());
        long latestStartMs = Math.max(nowMs, boundMs - Math.round(SlotGate.LIKELY_SERVICE_FACTOR * meanMs));
        WaitingCall waiting = new WaitingCall(request, latestStartMs, meanMs, new CompletableFuture<>());
        Runnable refusal = () -> {
            if (retry < route.retries()) {
                long delayMs = policy.delayMs(queue.expectedWaitMs(waiting, nowMs), deadlineMs - nowMs);
                schedule(nowMs + delayMs, () -> attempt(route, organisation, drawnMs, tallies, arrivalMs, retry + 1));
            }
        };
        refusals.put(request.callId(), refusal);
        workMs.put(request.callId(), drawnMs);
        waiting.result()
                .thenAccept(ended -> tallies.forEach(tally -> tally.served += nowMs <= arrivalMs + route.objectiveMs()
                        ? route.worth()
                        : nowMs <= deadlineMs ? route.lateWorth() : 0));
        if (queue.offer(waiting, nowMs).isPresent()) {
            refuse(waiting);
        }
    }

    private void refuse(final WaitingCall waiting) {
        refusals.remove(waiting.request().callId()).run();
    }

    private void startCalls() {
        Optional<WaitingCall> next = queue.takeNext(nowMs);
        while (next.isPresent()) {
            WaitingCall started = next.get();
            long durationMs = Math.round(workMs.get(started.request().callId()));
            schedule(nowMs + durationMs, () -> {
                queue.releaseSlot(durationMs);
                averages.get(started.request().route())
                        .recordCall(started.request().route(), durationMs, false);
                started.result().complete(null);
            });
            next = queue.takeNext(nowMs);
        }
    }
}
