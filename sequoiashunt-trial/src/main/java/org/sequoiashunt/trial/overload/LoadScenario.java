package org.sequoiashunt.trial.overload;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.sequoiashunt.placement.PlacementPolicy;

/**
 * A deployment and the load on it. Immutable and thread-safe.
 *
 * @param name its name.
 * @param routes the kinds of requests.
 * @param targets the targets.
 * @param pattern how the load and the targets change over time.
 * @param placement the policy by which entries choose targets.
 * @param aged whether reports from other failure domains arrive a second late, targets are slow in turn, and they state
 *     the pace of their VM.
 */
record LoadScenario(
        String name,
        List<LoadRoute> routes,
        List<Target> targets,
        LoadPattern pattern,
        PlacementPolicy placement,
        boolean aged) {

    private static final int CALL_RANK = 9;
    private static final long TURN_MS = 600;
    private static final long TARGETS_PER_TURN = 1_000;
    private static final double SHARE_SLOW_IN_TURN = 0.15;
    private static final double SLOWNESS_IN_TURN = 2.5;
    private static final Map<String, String> REGIONS =
            Map.of("north-1", "north", "north-2", "north", "south-1", "south", "south-2", "south");

    private LoadScenario(
            final String name, final List<LoadRoute> routes, final List<Target> targets, final LoadPattern pattern) {
        this(name, routes, targets, pattern, PlacementPolicy.LOWEST_COST, false);
    }

    /**
     * Returns how many times as long work takes at a target at a time. With old reports, 15% of the targets take 2.5
     * times as long for 600 ms at a time, others in turn.
     */
    double slowness(final long nowMs, final int target) {
        long turn = nowMs / TURN_MS;
        boolean slowInTurn =
                aged && new SplittableRandom(turn * TARGETS_PER_TURN + target).nextDouble() < SHARE_SLOW_IN_TURN;
        return pattern.slowness(nowMs, target) * (slowInTurn ? SLOWNESS_IN_TURN : 1);
    }

    static String regionOf(final String domain) {
        return REGIONS.get(domain);
    }

    /** Ten targets with 18 slots; short requests that call a second service, and callers that wait for long. */
    static LoadScenario shortWork(final LoadPattern pattern, final double load) {
        List<LoadRoute> routes = List.of(
                new LoadRoute(
                        "lookup",
                        "desk",
                        516 * load,
                        90,
                        0.3,
                        400,
                        2_500,
                        1_200,
                        1,
                        0.5,
                        2,
                        2,
                        true,
                        5_000,
                        Optional.of(new LoadRoute.Calls("check", 2, 0.7))),
                new LoadRoute(
                        "reserve",
                        "desk",
                        166 * load,
                        120,
                        0.5,
                        500,
                        3_000,
                        1_500,
                        2,
                        1,
                        1,
                        2,
                        false,
                        400,
                        Optional.empty()),
                new LoadRoute(
                        "release",
                        "press",
                        146 * load,
                        63,
                        0.8,
                        300,
                        2_000,
                        1_000,
                        3,
                        1.5,
                        0,
                        2,
                        false,
                        5_000,
                        Optional.empty()),
                new LoadRoute(
                        "check", "press", 0, 22, 0.5, 100, 250, 250, 0, 0, CALL_RANK, 0, true, 200, Optional.empty()));
        return new LoadScenario("short-work", routes, shortWorkTargets(), pattern);
    }

    private static List<Target> shortWorkTargets() {
        return List.of(
                new Target("desk", "north-1", 18, 0.7),
                new Target("desk", "north-1", 18, 0.7),
                new Target("desk", "south-1", 18, 1.6),
                new Target("desk", "south-1", 18, 0.7),
                new Target("desk", "north-2", 18, 0.7),
                new Target("desk", "south-2", 18, 1.6),
                new Target("press", "north-1", 18, 0.6),
                new Target("press", "south-1", 18, 1.0),
                new Target("press", "north-2", 18, 1.4),
                new Target("press", "south-2", 18, 1.0));
    }

    /** Eleven targets with 9 slots; long requests whose callers wait little longer than the objective. */
    static LoadScenario longWork(final LoadPattern pattern, final double load) {
        List<LoadRoute> routes = List.of(
                new LoadRoute(
                        "grade",
                        "sort",
                        145 * load,
                        160,
                        0.8,
                        600,
                        1_500,
                        1_000,
                        1,
                        0.1,
                        2,
                        1,
                        true,
                        5_000,
                        Optional.of(new LoadRoute.Calls("trace", 1, 0.5))),
                new LoadRoute(
                        "settle",
                        "sort",
                        70 * load,
                        210,
                        0.5,
                        800,
                        2_000,
                        1_400,
                        2,
                        0.2,
                        1,
                        1,
                        false,
                        400,
                        Optional.empty()),
                new LoadRoute(
                        "transfer",
                        "ledger",
                        53 * load,
                        110,
                        0.3,
                        500,
                        1_200,
                        900,
                        3,
                        0.3,
                        0,
                        1,
                        false,
                        400,
                        Optional.empty()),
                new LoadRoute(
                        "trace", "ledger", 0, 40, 0.5, 150, 500, 500, 0, 0, CALL_RANK, 0, true, 200, Optional.empty()));
        return new LoadScenario("long-work", routes, longWorkTargets(), pattern);
    }

    private static List<Target> longWorkTargets() {
        return List.of(
                new Target("sort", "north-1", 9, 0.7),
                new Target("sort", "north-1", 9, 0.7),
                new Target("sort", "south-1", 9, 1.6),
                new Target("sort", "south-1", 9, 0.7),
                new Target("sort", "south-1", 9, 0.7),
                new Target("sort", "north-2", 9, 1.6),
                new Target("sort", "south-2", 9, 0.7),
                new Target("ledger", "north-1", 9, 0.7),
                new Target("ledger", "south-1", 9, 0.7),
                new Target("ledger", "north-2", 9, 1.6),
                new Target("ledger", "south-2", 9, 0.7));
    }

    LoadRoute route(final String wanted) {
        return routes.stream()
                .filter(route -> route.name().equals(wanted))
                .findFirst()
                .orElseThrow();
    }

    /**
     * A target and the node beside it. Immutable and thread-safe.
     *
     * @param service its service.
     * @param domain its failure domain.
     * @param slots how many requests it runs at a time.
     * @param speed work done in a millisecond.
     */
    record Target(String service, String domain, int slots, double speed) {}
}
