package org.sequoiashunt.node.mesh;

import java.util.Objects;
import java.util.function.IntSupplier;
import org.sequoiashunt.mesh.MeshDispatcher;
import org.sequoiashunt.slot.SlotGates;
import org.sequoiashunt.time.Clock;

/**
 * Phases of a node's shutdown: it reports that it is not ready and accepts requests until callers have seen that, then
 * it refuses them, and the accepted ones finish or end shortly before the forced stop.
 *
 * <p>Thread-safe. Invariant: a phase never goes back.
 */
final class NodeDrain {

    /** Time after the shutdown signal in which requests are accepted: callers need two readiness checks to see it. */
    private static final long ACCEPT_WHILE_DRAINING_MS = 2_400;

    /** Time before the forced stop at which draining ends even if requests are unfinished. */
    private static final long FORCED_STOP_MARGIN_MS = 400;

    private static final long DRAIN_POLL_MS = 20;

    /** Longest time in which the last answers reach callers and nodes: twice the round trip between regions. */
    private static final long LAST_ANSWERS_MS = 150;

    private final Clock clock;
    private final DecisionLog log;
    private final long shutdownMs;
    private volatile boolean draining;
    private volatile boolean refusingRequests;

    /**
     * Creates the phases of a node that serves requests.
     *
     * @param clock the clock, not null.
     * @param log the log, not null.
     * @param shutdownMs the time between the shutdown signal and the forced stop, in milliseconds.
     */
    NodeDrain(final Clock clock, final DecisionLog log, final long shutdownMs) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.log = Objects.requireNonNull(log, "log");
        this.shutdownMs = shutdownMs;
    }

    /** Returns whether the node is shutting down and reports that it is not ready. */
    boolean isDraining() {
        return draining;
    }

    /** Returns whether new requests are refused. */
    boolean isRefusingRequests() {
        return refusingRequests;
    }

    /**
     * Goes through the phases. Returns when no requests are left or shortly before the forced stop.
     *
     * @param parts the parts of the node, not null.
     * @throws InterruptedException if the thread is interrupted while it waits.
     */
    void run(final Parts parts) throws InterruptedException {
        long startedMs = clock.nowMs();
        draining = true;
        parts.requestReport().run();
        log.log(
                LogKind.STOP,
                "phase",
                "draining",
                "held",
                parts.activeRequests().getAsInt(),
                "running",
                parts.gates().running());
        long stopMs = startedMs + Math.max(ACCEPT_WHILE_DRAINING_MS, shutdownMs - FORCED_STOP_MARGIN_MS);
        parts.gates().drain(stopMs);
        while (clock.nowMs() < stopMs) {
            parts.dispatcher().drain(stopMs);
            refusingRequests = clock.nowMs() - startedMs >= ACCEPT_WHILE_DRAINING_MS;
            if (refusingRequests && isIdle(parts)) {
                break;
            }
            Thread.sleep(DRAIN_POLL_MS);
        }
        refusingRequests = true;
        parts.dispatcher().stop();
        awaitLastAnswers(parts);
        log.log(
                LogKind.STOP,
                "phase",
                "ended",
                "held",
                parts.activeRequests().getAsInt(),
                "running",
                parts.gates().running(),
                "afterMs",
                clock.nowMs() - startedMs);
    }

    private static boolean isIdle(final Parts parts) {
        return parts.activeRequests().getAsInt() == 0 && parts.gates().running() == 0;
    }

    /** Waits until the answers to callers are written and other nodes have acknowledged the results of their calls. */
    private void awaitLastAnswers(final Parts parts) throws InterruptedException {
        long endMs = clock.nowMs() + LAST_ANSWERS_MS;
        while (clock.nowMs() < endMs
                && (parts.activeRequests().getAsInt() > 0
                        || parts.outstandingCalls().getAsInt() > 0)) {
            Thread.sleep(DRAIN_POLL_MS);
        }
    }

    /**
     * Parts of the node that finish their requests. Immutable; thread-safe if its components are.
     *
     * @param requestReport sends a report to the other nodes.
     * @param gates the gates of the node's targets.
     * @param dispatcher the dispatcher of callers' requests.
     * @param activeRequests counts the requests of callers that are not answered.
     * @param outstandingCalls counts the calls of other nodes whose results they have not acknowledged.
     */
    record Parts(
            Runnable requestReport,
            SlotGates gates,
            MeshDispatcher dispatcher,
            IntSupplier activeRequests,
            IntSupplier outstandingCalls) {}
}
