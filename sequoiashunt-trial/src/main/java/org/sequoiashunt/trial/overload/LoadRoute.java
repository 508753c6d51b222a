package org.sequoiashunt.trial.overload;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.sequoiashunt.mesh.MeshRoute;
import org.sequoiashunt.mesh.RequestKind;
import org.sequoiashunt.mesh.WeightedService;

/**
 * One kind of request of a load. Immutable and thread-safe.
 *
 * @param name its name.
 * @param service the service that serves it.
 * @param perSecond requests a second over all failure domains; 0 for calls that only running requests make.
 * @param workMs the mean time on a target of speed 1, in milliseconds.
 * @param spread how far the work of single requests is spread.
 * @param objectiveMs the time for full worth, in milliseconds.
 * @param deadlineMs how long callers wait, in milliseconds.
 * @param timeoutMs the route's timeout, in milliseconds.
 * @param worth the worth of an answer within the objective.
 * @param lateWorth the worth of a later answer.
 * @param rank the rank of the route; 0 is the most urgent.
 * @param retries how often callers try again.
 * @param idempotent whether it may run again.
 * @param answerBytes the length of its answers, in bytes.
 * @param calls the calls that each run makes, one after the other.
 */
record LoadRoute(
        String name,
        String service,
        double perSecond,
        double workMs,
        double spread,
        long objectiveMs,
        long deadlineMs,
        long timeoutMs,
        double worth,
        double lateWorth,
        int rank,
        int retries,
        boolean idempotent,
        int answerBytes,
        Optional<Calls> calls) {

    private static final int ATTEMPTS = 2;

    MeshRoute route() {
        List<WeightedService> services = List.of(new WeightedService(service, 1));
        return new MeshRoute(
                name,
                "host",
                "/" + name + "/",
                services,
                RequestKind.of(idempotent),
                timeoutMs,
                objectiveMs,
                rank,
                ATTEMPTS,
                false,
                Set.of());
    }

    LoadRoute withLoad(final double factor) {
        return new LoadRoute(
                name,
                service,
                perSecond * factor,
                workMs,
                spread,
                objectiveMs,
                deadlineMs,
                timeoutMs,
                worth,
                lateWorth,
                rank,
                retries,
                idempotent,
                answerBytes,
                calls);
    }

    /**
     * Calls that a running request makes. Immutable and thread-safe.
     *
     * @param route the route that is called.
     * @param times how many calls.
     * @param share the share of the requests that make them.
     */
    record Calls(String route, int times, double share) {}
}
