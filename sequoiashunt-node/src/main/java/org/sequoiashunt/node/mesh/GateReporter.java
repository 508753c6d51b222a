package org.sequoiashunt.node.mesh;

import java.util.Objects;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.HeaderField;
import org.sequoiashunt.call.Outcome;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.move.AnswerCounters;
import org.sequoiashunt.slot.GateObserver;
import org.sequoiashunt.target.TargetAnnouncement;

/** Counts and logs the admissions, refusals and results of the gates. Thread-safe. */
final class GateReporter implements GateObserver {

    private final String requestIdHeader;
    private final AnswerCounters answerCounters;
    private final CrashGuard crashGuard;
    private final DecisionLog log;
    private final MeshMetrics metrics;

    GateReporter(
            final String requestIdHeader,
            final AnswerCounters answerCounters,
            final CrashGuard crashGuard,
            final DecisionLog log,
            final MeshMetrics metrics) {
        this.requestIdHeader = Objects.requireNonNull(requestIdHeader, "requestIdHeader");
        this.answerCounters = Objects.requireNonNull(answerCounters, "answerCounters");
        this.crashGuard = Objects.requireNonNull(crashGuard, "crashGuard");
        this.log = Objects.requireNonNull(log, "log");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    @Override
    public void callAdmitted(
            final TargetAnnouncement target, final CallRequest request, final int running, final int waiting) {
        metrics.count("gate_admitted{service=\"" + target.service() + "\"}");
        if (running >= target.slots()) {
            metrics.count("gate_waited{service=\"" + target.service() + "\"}");
        }
    }

    @Override
    public void callRefused(final TargetAnnouncement target, final CallRequest request, final CallResult result) {
        metrics.count("gate_refused{service=\"" + target.service() + "\",reason=\"" + result.reason() + "\"}");
        metrics.count("gate_refused_flows{service=\"" + target.service() + "\",flow=\""
                + (request.organisation().isEmpty() ? "route" : "organisation") + "\"}");
        log.log(
                LogKind.GATE_REFUSED,
                "request",
                requestIdOf(request),
                "call",
                request.callId(),
                "target",
                target.target(),
                "route",
                request.route(),
                "reason",
                result.reason().text(),
                "load",
                result.load(),
                "expectedWaitMs",
                result.expectedWaitMs());
    }

    @Override
    public void callExceedsWarmup(final TargetAnnouncement target, final CallRequest request) {
        metrics.count("gate_cold_refused{service=\"" + target.service() + "\"}");
    }

    @Override
    public void callEnded(
            final TargetAnnouncement target,
            final CallRequest request,
            final CallResult result,
            final long durationMs) {
        answerCounters.record(request, result, durationMs);
        crashGuard.recordEnd(target, request, result, durationMs);
        metrics.count("target_ended{service=\"" + target.service() + "\",outcome=\""
                + result.outcome().headerValue() + "\"}");
        if (result.reason() == Reason.UNRESPONSIVE) {
            metrics.count("target_unresponsive{service=\"" + target.service() + "\"}");
        }
        if (result.outcome() != Outcome.COMPLETE) {
            log.log(
                    LogKind.ATTEMPT,
                    "request",
                    requestIdOf(request),
                    "call",
                    request.callId(),
                    "target",
                    target.target(),
                    "route",
                    request.route(),
                    "outcome",
                    result.outcome().headerValue(),
                    "reason",
                    result.reason().text(),
                    "durationMs",
                    durationMs);
        }
    }

    private String requestIdOf(final CallRequest request) {
        return request.headers().stream()
                .filter(field -> field.name().equalsIgnoreCase(requestIdHeader))
                .map(HeaderField::value)
                .findFirst()
                .orElse("none");
    }
}
