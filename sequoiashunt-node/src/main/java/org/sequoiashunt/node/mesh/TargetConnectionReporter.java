package org.sequoiashunt.node.mesh;

import java.util.Objects;

/** Counts the events of the connections to targets and logs the abnormal ones. Thread-safe. */
final class TargetConnectionReporter implements TargetConnectionObserver {

    private final DecisionLog log;
    private final MeshMetrics metrics;

    TargetConnectionReporter(final DecisionLog log, final MeshMetrics metrics) {
        this.log = Objects.requireNonNull(log, "log");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    @Override
    public void connectionClosed(final TargetConnection connection, final ConnectionEnd end, final AnswerTrace trace) {
        metrics.count("target_connections_closed{cause=\"" + end.label() + "\"}");
        if (end.isAbnormal()) {
            log(LogKind.TARGET_CONNECTION, connection, end.label(), trace);
        }
    }

    @Override
    public void answerSkipped(final TargetConnection connection, final AnswerTrace trace) {
        metrics.count("target_answers_skipped");
        log(LogKind.ANSWER_SKIPPED, connection, "answer to an earlier request", trace);
    }

    private void log(
            final LogKind kind, final TargetConnection connection, final String cause, final AnswerTrace trace) {
        log.log(
                kind,
                "connection",
                connection.number(),
                "address",
                connection.target(),
                "cause",
                cause,
                "detail",
                trace.detail(),
                "request",
                connection.awaitedRequestId(),
                "answerStatus",
                trace.status(),
                "answerRequest",
                trace.requestId(),
                "bytes",
                trace.bytes(),
                "requests",
                connection.requestCount(),
                "latest",
                String.join(", ", connection.latestRequests()));
    }
}
