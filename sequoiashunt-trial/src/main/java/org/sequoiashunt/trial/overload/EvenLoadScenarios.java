package org.sequoiashunt.trial.overload;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.sequoiashunt.placement.PlacementPolicy;

/**
 * Deployments with many small targets of unequal speed, whose entries know of targets elsewhere only what was true 1 to
 * 1.5 s ago. Not instantiable; thread-safe.
 */
final class EvenLoadScenarios {

    private static final int CALL_RANK = 9;
    private static final double[] SPEEDS = {0.6, 1.0, 1.6};
    private static final String[] DOMAINS = {"north-1", "south-1", "north-2", "south-2"};

    /** Mean time of work against the one without slow targets and without the slowdown of busy ones. */
    private static final double MEAN_SLOWNESS = 1.3;

    /** Time for which a call that a run makes is on links, in milliseconds. */
    private static final double CALL_LINK_MS = 6;

    private EvenLoadScenarios() {}

    /**
     * Creates a deployment of 32 targets with 8 slots: the plate archive at half its size.
     *
     * @param share the load as a part of the room of the fuller service.
     * @param placement the policy of the entries.
     */
    static LoadScenario plateArchive(final double share, final PlacementPolicy placement) {
        List<LoadRoute> routes = List.of(
                route("browse", "desk", 657, 133, 627, 4_180, 1, 0.5, 2, true, 5_000, "checksum", 2),
                route("booking", "desk", 231, 181, 829, 5_183, 2, 1, 1, false, 400, "", 0),
                route("scan", "vault", 106, 114, 873, 5_457, 1, 0.5, 2, true, 90_000, "", 0),
                route("provenance", "vault", 146, 552, 2_025, 12_147, 1, 0.5, 2, true, 2_000, "", 0),
                route("checksum", "vault", 0, 41, 175, 582, 0, 0, CALL_RANK, true, 200, "", 0));
        List<LoadScenario.Target> targets = new ArrayList<>(targets("desk", 18, 8));
        targets.addAll(targets("vault", 14, 8));
        return scaled("plate-archive", routes, targets, share, placement);
    }

    /**
     * Creates a deployment of 64 targets with 4 slots: the pressure loggers, without quotas.
     *
     * @param share the load as a part of the room of the fuller service.
     * @param placement the policy of the entries.
     */
    static LoadScenario pressureLoggers(final double share, final PlacementPolicy placement) {
        List<LoadRoute> routes = List.of(
                route("curve", "dispatch", 916, 94.3, 533, 3_196, 1.3, 0.16, 2, true, 2_000, "peek", 1),
                route("valve", "dispatch", 283, 124, 632, 4_212, 1.4, 0.42, 1, false, 400, "", 0),
                route("upload", "ingest", 96.6, 114, 1_593, 5_311, 0.7, 0.31, 2, false, 60_000, "", 0),
                route("peek", "ingest", 0, 23.8, 132, 395, 0, 0, CALL_RANK, true, 200, "", 0));
        List<LoadScenario.Target> targets = new ArrayList<>(targets("dispatch", 52, 4));
        targets.addAll(targets("ingest", 12, 4));
        return scaled("pressure-loggers", routes, targets, share, placement);
    }

    @SuppressWarnings("checkstyle:ParameterNumber")
    private static LoadRoute route(
            final String name,
            final String service,
            final double perSecond,
            final double workMs,
            final long objectiveMs,
            final long deadlineMs,
            final double worth,
            final double lateWorth,
            final int rank,
            final boolean idempotent,
            final int answerBytes,
            final String called,
            final int calls) {
        return new LoadRoute(
                name,
                service,
                perSecond,
                workMs,
                0.4,
                objectiveMs,
                deadlineMs,
                deadlineMs,
                worth,
                lateWorth,
                rank,
                rank == CALL_RANK ? 0 : 2,
                idempotent,
                answerBytes,
                calls == 0 ? Optional.empty() : Optional.of(new LoadRoute.Calls(called, calls, 0.7)));
    }

    private static List<LoadScenario.Target> targets(final String service, final int count, final int slots) {
        List<LoadScenario.Target> targets = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            targets.add(new LoadScenario.Target(
                    service, DOMAINS[index % DOMAINS.length], slots, SPEEDS[index % SPEEDS.length]));
        }
        return targets;
    }

    private static LoadScenario scaled(
            final String name,
            final List<LoadRoute> routes,
            final List<LoadScenario.Target> targets,
            final double share,
            final PlacementPolicy placement) {
        double fullest = 0;
        for (LoadRoute each : routes) {
            fullest = Math.max(fullest, usedShare(each.service(), routes, targets));
        }
        double factor = share / fullest;
        List<LoadRoute> scaled =
                routes.stream().map(each -> each.withLoad(factor)).toList();
        return new LoadScenario(name, scaled, targets, LoadPattern.STEADY, placement, true);
    }

    /** Returns the share of a service's slots that its requests hold on average. */
    private static double usedShare(
            final String service, final List<LoadRoute> routes, final List<LoadScenario.Target> targets) {
        double heldSlots = 0;
        for (LoadRoute route : routes) {
            double perMs = route.perSecond() / 1_000;
            double callMs = 0;
            double callsPerRun =
                    route.calls().map(calls -> calls.share() * calls.times()).orElse(0.0);
            if (callsPerRun > 0) {
                LoadRoute called = routes.stream()
                        .filter(each ->
                                each.name().equals(route.calls().orElseThrow().route()))
                        .findFirst()
                        .orElseThrow();
                callMs = MEAN_SLOWNESS * called.workMs() / meanSpeed(called.service(), targets);
                heldSlots += called.service().equals(service) ? perMs * callsPerRun * callMs : 0;
            }
            if (route.service().equals(service)) {
                heldSlots += perMs
                        * (MEAN_SLOWNESS * route.workMs() / meanSpeed(service, targets)
                                + callsPerRun * (callMs + CALL_LINK_MS));
            }
        }
        return heldSlots
                / targetsOf(service, targets).stream()
                        .mapToInt(LoadScenario.Target::slots)
                        .sum();
    }

    private static double meanSpeed(final String service, final List<LoadScenario.Target> targets) {
        return targetsOf(service, targets).stream()
                .mapToDouble(LoadScenario.Target::speed)
                .average()
                .orElseThrow();
    }

    private static List<LoadScenario.Target> targetsOf(final String service, final List<LoadScenario.Target> targets) {
        return targets.stream().filter(each -> each.service().equals(service)).toList();
    }
}
