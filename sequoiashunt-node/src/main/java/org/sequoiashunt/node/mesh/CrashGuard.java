package org.sequoiashunt.node.mesh;

import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.sequoiashunt.call.CallHandler;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.HeaderField;
import org.sequoiashunt.call.Outcome;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.crash.CrashTable;
import org.sequoiashunt.crash.TargetCrashDetector;
import org.sequoiashunt.execution.RequestFingerprint;
import org.sequoiashunt.mesh.MeshCall;
import org.sequoiashunt.target.TargetAnnouncement;
import org.sequoiashunt.time.Clock;

/**
 * Keeps requests that crash targets from the targets: at the entry, where callers' requests arrive, and at the gates of
 * this node, where requests from entries arrive that may not know yet.
 *
 * <p>Thread-safe. Invariant: a refused request was not sent to a target. Fingerprints are computed only while there are
 * suspects, and for requests whose connection broke.
 */
final class CrashGuard {

    private final CrashTable table;
    private final TargetCrashDetector detector;
    private final String callerHeader;
    private final Clock clock;
    private final Runnable onCrash;
    private final DecisionLog log;
    private final MeshMetrics metrics;

    /**
     * Creates a guard.
     *
     * @param dependencies the objects that the guard calls, not null.
     */
    CrashGuard(final Dependencies dependencies) {
        this.table = dependencies.table();
        this.detector = new TargetCrashDetector(dependencies.clock());
        this.callerHeader = dependencies.callerHeader();
        this.clock = dependencies.clock();
        this.onCrash = dependencies.onCrash();
        this.log = dependencies.log();
        this.metrics = dependencies.metrics();
    }

    /** Returns how long a caller's request is still refused, in milliseconds, zero if it may run. */
    long quarantineLeftMs(final String service, final MeshCall call) {
        if (table.isEmpty()) {
            return 0;
        }
        String fingerprint =
                RequestFingerprint.of(service, callerOf(call.headers()), call.method(), call.uri(), call.body());
        long leftMs = table.quarantineLeftMs(fingerprint);
        if (leftMs > 0) {
            metrics.count("requests_quarantined{service=\"" + service + "\"}");
            log.log(
                    LogKind.CRASH,
                    "request",
                    call.requestId(),
                    "fingerprint",
                    fingerprint,
                    "change",
                    "quarantined",
                    "leftMs",
                    leftMs);
        }
        return leftMs;
    }

    /**
     * Guards the gates of this node.
     *
     * @param gates runs the requests that are not refused, not null.
     * @return the guarded gates, never null.
     */
    CallHandler guard(final CallHandler gates) {
        Objects.requireNonNull(gates, "gates");
        return new CallHandler() {
            @Override
            public CompletableFuture<CallResult> handle(final CallRequest request) {
                return refuseIfQuarantined(request).orElseGet(() -> gates.handle(request));
            }

            @Override
            public void withdrawCall(final String callId) {
                gates.withdrawCall(callId);
            }
        };
    }

    private Optional<CompletableFuture<CallResult>> refuseIfQuarantined(final CallRequest request) {
        long leftMs = table.isEmpty() ? 0 : table.quarantineLeftMs(fingerprintOf(request));
        if (leftMs == 0) {
            return Optional.empty();
        }
        metrics.count("requests_quarantined{service=\"" + request.service() + "\"}");
        return Optional.of(CompletableFuture.completedFuture(
                CallResult.notRun(Reason.QUARANTINED).withExpectedWait(leftMs)));
    }

    /**
     * Records how a call to a target of this node ended.
     *
     * @param target the target, not null.
     * @param request the call, not null.
     * @param result the result, not null.
     * @param durationMs the time since the call was sent, in milliseconds.
     */
    void recordEnd(
            final TargetAnnouncement target,
            final CallRequest request,
            final CallResult result,
            final long durationMs) {
        if (result.outcome() == Outcome.COMPLETE) {
            detector.recordAnswer(target, clock.nowMs() - durationMs);
            if (!table.isEmpty()) {
                table.recordAnswer(fingerprintOf(request));
            }
        } else if (result.reason() == Reason.CONNECTION_FAILED) {
            boolean sent = result.outcome() == Outcome.UNKNOWN;
            recordCrash(
                    target,
                    sent ? detector.recordLost(target, fingerprintOf(request)) : detector.recordUnreachable(target));
        }
    }

    /**
     * Records that a target of this node has joined.
     *
     * @param target the target, not null.
     */
    void recordJoined(final TargetAnnouncement target) {
        recordCrash(target, detector.recordJoined(target));
    }

    private void recordCrash(final TargetAnnouncement target, final Optional<TargetCrashDetector.Crash> crash) {
        if (crash.isEmpty()) {
            return;
        }
        table.recordCrash(crash.get().fingerprints(), crash.get().incident());
        metrics.count("target_crashes{service=\"" + target.service() + "\"}");
        log.log(
                LogKind.CRASH,
                "target",
                target.target(),
                "change",
                "crashed",
                "incident",
                crash.get().incident(),
                "requests",
                String.join(",", crash.get().fingerprints()));
        onCrash.run();
    }

    private String fingerprintOf(final CallRequest request) {
        return RequestFingerprint.of(
                request.service(), callerOf(request.headers()), request.method(), request.uri(), request.body());
    }

    private String callerOf(final Iterable<HeaderField> headers) {
        for (HeaderField field : headers) {
            if (field.name().equalsIgnoreCase(callerHeader)) {
                return field.value();
            }
        }
        return "";
    }

    /**
     * Collaborators of the guard. Immutable; as thread-safe as its components.
     *
     * @param table the suspects of all nodes.
     * @param callerHeader the name of the header with the service of a request's caller.
     * @param clock the time source.
     * @param onCrash called when a target of this node has crashed.
     * @param log the log of decisions.
     * @param metrics counts crashes and refused requests.
     */
    record Dependencies(
            CrashTable table,
            String callerHeader,
            Clock clock,
            Runnable onCrash,
            DecisionLog log,
            MeshMetrics metrics) {

        /**
         * Checks the components.
         *
         * @throws NullPointerException if a component is null.
         */
        Dependencies {
            Objects.requireNonNull(table, "table");
            Objects.requireNonNull(callerHeader, "callerHeader");
            Objects.requireNonNull(clock, "clock");
            Objects.requireNonNull(onCrash, "onCrash");
            Objects.requireNonNull(log, "log");
            Objects.requireNonNull(metrics, "metrics");
        }
    }
}
