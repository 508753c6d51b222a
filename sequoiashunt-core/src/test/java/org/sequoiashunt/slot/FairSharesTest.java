package org.sequoiashunt.slot;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallUrgency;
import org.sequoiashunt.slot.FairSharesReplay.Load;
import org.sequoiashunt.slot.FairSharesReplay.Order;
import org.sequoiashunt.slot.FairSharesReplay.Route;
import org.sequoiashunt.slot.FairSharesReplay.Tally;

class FairSharesTest {

    private static final Order FIRST_IN = new Order("first in first out", false, false, 1, false);
    private static final Order RANK = new Order("rank alone", true, false, 1, false);
    private static final Order FAIR = new Order("fair shares", true, true, FairShares.OVERTAKING_SHARE, false);
    private static final List<Order> ORDERS = List.of(
            FIRST_IN,
            RANK,
            FAIR,
            new Order("fair, overtaking 0.2", true, true, 0.2, false),
            new Order("fair, overtaking 0.8", true, true, 0.8, false),
            new Order("fair, until deadline", true, true, FairShares.OVERTAKING_SHARE, true));

    private static final List<Route> DISPATCH = List.of(
            new Route("curve-read", true, 1_001, 17.6, 94.3, 533, 3_196, 1.3, 0.16, 2, 1),
            new Route("valve-cmd", true, 1_001, 5.44, 124, 632, 4_212, 1.4, 0.42, 2, 1));
    private static final Load HOT_ORGANISATION = new Load("hot organisation", 4, 1.6, 7.5, DISPATCH);
    private static final Load ROOM_LEFT = new Load("hot organisation, room left", 4, 1.2, 7.5, DISPATCH);
    private static final Load REPEATS = new Load(
            "repeats",
            4,
            2.23,
            1,
            DISPATCH.stream()
                    .map(route -> new Route(
                            route.name(),
                            true,
                            route.rank(),
                            route.perSecond(),
                            route.workMs(),
                            route.objectiveMs(),
                            route.deadlineMs(),
                            route.worth(),
                            route.lateWorth(),
                            8,
                            1))
                    .toList());
    private static final Load SHORT_ROOM = new Load("short room", 3, 1.67, 1, DISPATCH);
    private static final Load UPLOADS = new Load(
            "burst of uploads",
            4,
            1.37,
            1,
            List.of(
                    new Route("log-upload", true, 1_002, 8.05, 114, 1_593, 5_311, 0.7, 0.31, 2, 2.6),
                    new Route("alert-peek", false, 1_000, 53.4, 23.8, 132, 395, 1.3, 0.16, 0, 1)));
    private static final Load VAULT = vault("vault", 2.23, 1);
    private static final Load VAULT_FLOOD = vault("vault, flood of calls", 1.72, 4);

    private int number;

    private static Load vault(final String name, final double scale, final double calls) {
        return new Load(
                name,
                8,
                scale,
                1,
                List.of(
                        new Route("plate-scan", false, 1, 3.79, 114, 873, 5_457, 1, 0.5, 2, 1),
                        new Route("provenance-read", false, 1, 5.21, 552, 2_025, 12_147, 1, 0.5, 2, 1),
                        new Route("checksum-peek", false, 0, 32.8 * calls, 41, 175, 582, 0.5, 0.25, 0, 1)));
    }

    /** Served worth of all, of the worst organisation and the worst tenth, and of each route; means of three seeds. */
    private static Map<String, Double> replay(final Load load, final Order order) {
        Map<String, Double> sums = new TreeMap<>();
        for (long seed = 11; seed <= 13; seed++) {
            FairSharesReplay replay = new FairSharesReplay(load, order, seed).run();
            sums.merge(" all", replay.all.ratio() / 3, Double::sum);
            replay.byRoute.forEach((route, tally) -> sums.merge(route, tally.ratio() / 3, Double::sum));
            List<Double> ratios = replay.byOrganisation.values().stream()
                    .map(Tally::ratio)
                    .sorted()
                    .toList();
            if (!ratios.isEmpty()) {
                sums.merge(" largest", replay.byOrganisation.get("o-0").ratio() / 3, Double::sum);
                sums.merge(" worst", ratios.get(0) / 3, Double::sum);
                double tenth = ratios.stream()
                        .limit(ratios.size() / 10)
                        .mapToDouble(ratio -> ratio)
                        .average()
                        .orElse(1);
                sums.merge(" worst tenth", tenth / 3, Double::sum);
            }
        }
        return sums;
    }

    /** Guards against an order that serves less worth, starves an organisation, or lets calls crowd out requests. */
    @Test
    void fairSharesServeTheWorstOrganisationWithoutLossOfWorth() {
        for (Load load : List.of(HOT_ORGANISATION, ROOM_LEFT, REPEATS, SHORT_ROOM, UPLOADS, VAULT, VAULT_FLOOD)) {
            Map<String, Map<String, Double>> results = new TreeMap<>();
            for (Order order : ORDERS) {
                results.put(order.name(), replay(load, order));
                print(load, order, results.get(order.name()));
            }
            Map<String, Double> rank = results.get(RANK.name());
            Map<String, Double> fair = results.get(FAIR.name());
            if (load == VAULT_FLOOD) {
                assertTrue(fair.get("plate-scan") > 0.9 && rank.get("plate-scan") < 0.1, "scans beside calls");
                assertTrue(fair.get("provenance-read") > 0.5, "reads beside calls");
                continue;
            }
            assertTrue(fair.get(" all") > rank.get(" all") - 0.02, load.name() + ": served worth");
            if (load != VAULT) {
                assertTrue(fair.get(" worst") > fair.get(" all") / 4, load.name() + ": a quarter of all");
            }
            if (load != VAULT && load != ROOM_LEFT) {
                assertTrue(fair.get(" worst tenth") > rank.get(" worst tenth") + 0.02, load.name() + ": worst tenth");
            }
        }
    }

    private static void print(final Load load, final Order order, final Map<String, Double> result) {
        StringBuilder row = new StringBuilder("| " + load.name() + " | " + order.name() + " |");
        result.forEach((name, ratio) -> row.append(String.format(Locale.ROOT, " %s %.3f |", name.strip(), ratio)));
        System.out.println(row);
    }

    private WaitingCall call(final String organisation, final int rank, final long latestStartMs) {
        CallRequest request = new CallRequest(
                "call-" + number++,
                "desk",
                "lookup",
                "v1",
                "t-1",
                "GET",
                "/",
                List.of(),
                Body.EMPTY,
                true,
                Optional.empty(),
                10_000,
                new CallUrgency(rank, latestStartMs),
                false,
                organisation);
        return new WaitingCall(request, latestStartMs, new CompletableFuture<>());
    }

    private static String next(final SlotQueue queue) {
        queue.releaseSlot(100);
        return queue.takeNext(0).orElseThrow().request().organisation();
    }

    /** Guards against an organisation that fills the queue, so that others are refused although their share is free. */
    @Test
    void floodIsRefusedWhileAnotherOrganisationIsAdmittedAndStartsNext() {
        SlotQueue queue = new SlotQueue(1, () -> true);
        int admitted = 0;
        while (queue.offer(call("large", 1, 100_000), 0).isEmpty()) {
            queue.takeNext(0);
            admitted++;
        }
        assertEquals(5, admitted, "one runs, and at most half of the eight places wait");
        assertTrue(queue.offer(call("large", 1, 100_000), 0).isPresent(), "flood is refused");
        assertEquals(100, queue.expectedWaitMs(call("small", 1, 150), 0), "only the running call is ahead");
        assertTrue(queue.offer(call("small", 1, 150), 0).isEmpty(), "small organisation is admitted");
        assertEquals("small", next(queue));
    }

    /** Guards against calls of running requests that take all slots while requests of organisations wait. */
    @Test
    void callsWithoutOrganisationOvertakeForHalfOfTheSlotTime() {
        SlotQueue queue = new SlotQueue(4, () -> true);
        List<String> started = new ArrayList<>();
        for (int slot = 0; slot < 4; slot++) {
            queue.offer(call("", 0, 90_000), 0);
            queue.takeNext(0);
        }
        for (int step = 0; step < 100; step++) {
            queue.offer(call("", 0, 90_000), 0);
            queue.offer(call("o-1", 1_000, 100_000), 0);
            started.add(next(queue));
        }
        long overtaking = started.stream().filter(String::isEmpty).count();
        assertTrue(overtaking >= 50 && overtaking <= 65, "calls without an organisation: " + overtaking);
    }

    /** Guards against a changed order, admission or refusal where a configuration does not call for fair shares. */
    @Test
    void orderAndAdmissionStayTheSameWithoutFairShares() {
        Random random = new Random(7);
        SlotQueue queue = new SlotQueue(3, () -> false);
        List<WaitingCall> model = new ArrayList<>();
        for (long nowMs = 0; nowMs < 20_000; nowMs++) {
            WaitingCall offered = call("o-" + random.nextInt(3), random.nextInt(3), nowMs + random.nextInt(900));
            int rank = offered.request().urgency().rank();
            long ahead = model.stream()
                    .filter(waiting -> waiting.request().urgency().rank() <= rank)
                    .count();
            long waitMs = Math.max(0, Math.round((queue.running() + ahead + 1 - 3) * 100.0 / 3));
            boolean admitted = queue.running() < 3 && model.isEmpty()
                    || nowMs + waitMs <= offered.latestStartMs() && model.size() < 24;
            assertEquals(admitted ? Optional.empty() : Optional.of(waitMs), queue.offer(offered, nowMs));
            if (admitted) {
                model.add(offered);
            }
            if (queue.running() > 0 && random.nextBoolean()) {
                queue.releaseSlot(-1);
            }
            long startMs = nowMs;
            Optional<WaitingCall> expected = queue.running() == 3
                    ? Optional.empty()
                    : model.stream()
                            .min(Comparator.<WaitingCall, Boolean>comparing(
                                            waiting -> waiting.latestStartMs() < startMs)
                                    .thenComparing(waiting ->
                                            waiting.request().urgency().rank())
                                    .thenComparing(WaitingCall::latestStartMs)
                                    .thenComparing(waiting -> waiting.request().callId()));
            assertEquals(expected, queue.takeNext(nowMs));
            expected.ifPresent(model::remove);
        }
    }
}
