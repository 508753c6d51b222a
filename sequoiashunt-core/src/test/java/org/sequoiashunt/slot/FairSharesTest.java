package org.sequoiashunt.slot;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
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
    private static final Load HOT_ORGANISATION = new Load("hot organisation", 4, 1.37, 7.5, DISPATCH);
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
        for (long seed = 1; seed <= 3; seed++) {
            FairSharesReplay replay = new FairSharesReplay(load, order, seed).run();
            sums.merge(" all", replay.all.ratio() / 3, Double::sum);
            replay.byRoute.forEach((route, tally) -> sums.merge(route, tally.ratio() / 3, Double::sum));
            List<Double> ratios = replay.byOrganisation.values().stream()
                    .map(Tally::ratio)
                    .sorted()
                    .toList();
            if (!ratios.isEmpty()) {
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
        Map<String, Map<String, Double>> results = new TreeMap<>();
        for (Load load : List.of(HOT_ORGANISATION, REPEATS, SHORT_ROOM, UPLOADS, VAULT, VAULT_FLOOD)) {
            for (Order order : ORDERS) {
                Map<String, Double> result = replay(load, order);
                results.put(load.name() + order.name(), result);
                StringBuilder row = new StringBuilder("| " + load.name() + " | " + order.name() + " |");
                result.forEach(
                        (name, ratio) -> row.append(String.format(Locale.ROOT, " %s %.3f |", name.strip(), ratio)));
                System.out.println(row);
            }
        }
    }
}
