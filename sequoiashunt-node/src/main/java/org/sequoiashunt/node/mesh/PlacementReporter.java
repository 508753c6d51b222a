package org.sequoiashunt.node.mesh;

import java.util.Objects;
import java.util.function.Predicate;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Outcome;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.mesh.DispatchObserver;
import org.sequoiashunt.mesh.MeshCall;
import org.sequoiashunt.mesh.MeshRoute;
import org.sequoiashunt.placement.PlacementCandidate;

/** Logs the target chosen for each attempt and the attempts without a complete answer. Thread-safe. */
final class PlacementReporter implements DispatchObserver {

    private final DecisionLog log;
    private final MeshMetrics metrics;
    private final Predicate<PlacementCandidate> roomElsewhere;

    PlacementReporter(
            final DecisionLog log, final MeshMetrics metrics, final Predicate<PlacementCandidate> roomElsewhere) {
        this.roomElsewhere = Objects.requireNonNull(roomElsewhere, "roomElsewhere");
        this.log = Objects.requireNonNull(log, "log");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    @Override
    public void targetChosen(
            final MeshCall call, final MeshRoute route, final PlacementCandidate candidate, final int attempt) {
        log.log(
                LogKind.PLACED,
                "request",
                call.requestId(),
                "route",
                route.name(),
                "attempt",
                attempt,
                "target",
                candidate.report().target(),
                "peer",
                candidate.node(),
                "distance",
                candidate.distance().name(),
                "load",
                candidate.load(),
                "slots",
                candidate.report().slots(),
                "reportAgeMs",
                candidate.reportAgeMs(),
                "statedMs",
                call.deadlineMs() - call.arrivedMs());
    }

    @Override
    public void attemptWithdrawn(final MeshCall call, final MeshRoute route, final PlacementCandidate candidate) {
        metrics.count("attempts_withdrawn{route=\"" + route.name() + "\"}");
        log.log(
                LogKind.WITHDRAWN,
                "request",
                call.requestId(),
                "route",
                route.name(),
                "target",
                candidate.report().target(),
                "peer",
                candidate.node());
    }

    @Override
    public void attemptEnded(
            final MeshCall call, final MeshRoute route, final PlacementCandidate candidate, final CallResult result) {
        if (result.reason() == Reason.QUEUE_FULL) {
            String room = roomElsewhere.test(candidate) ? "yes" : "no";
            metrics.count("placement_refused{service=\"" + candidate.report().service() + "\",roomElsewhere=\"" + room
                    + "\"}");
        }
        if (result.outcome() != Outcome.COMPLETE) {
            log.log(
                    LogKind.ATTEMPT,
                    "request",
                    call.requestId(),
                    "route",
                    route.name(),
                    "target",
                    candidate.report().target(),
                    "peer",
                    candidate.node(),
                    "outcome",
                    result.outcome().headerValue(),
                    "reason",
                    result.reason().text(),
                    "load",
                    result.load(),
                    "expectedWaitMs",
                    result.expectedWaitMs(),
                    "reportAgeMs",
                    candidate.reportAgeMs());
        }
    }
}
