package org.sequoiashunt.link;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.link.LinkCounters.Count;
import org.sequoiashunt.link.wire.FrameProto.CallAcknowledge;
import org.sequoiashunt.link.wire.FrameProto.CallEnd;
import org.sequoiashunt.link.wire.FrameProto.CallState;
import org.sequoiashunt.link.wire.FrameProto.Frame;
import org.sequoiashunt.time.Clock;

/**
 * Writes the requests, queries, cancellations and acknowledgements for the calls of one link, and processes received
 * results and states.
 *
 * <p>Confined to the thread of its link, except {@link #inFlight()}, which is thread-safe.
 */
final class LinkCalls {

    private static final int MAXIMUM_BATCHED_ACKNOWLEDGEMENTS = 64;

    private final LinkLimits limits;
    private final Clock clock;
    private final LinkCounters counters;
    private final InFlightCalls inFlight;
    private final List<String> unacknowledgedCallIds = new ArrayList<>();
    private long lastAcknowledgedMs;

    LinkCalls(final LinkLimits limits, final Clock clock, final LinkCounters counters) {
        this.limits = limits;
        this.clock = clock;
        this.counters = counters;
        this.inFlight = new InFlightCalls(limits);
    }

    InFlightCalls inFlight() {
        return inFlight;
    }

    /**
     * Sends the waiting calls while the connection is writable.
     *
     * @param connection an open connection.
     */
    void writeWaiting(final LinkConnection connection) {
        Optional<InFlightCall> call = nextWaiting(connection);
        while (call.isPresent()) {
            writeStart(call.get(), connection);
            call = nextWaiting(connection);
        }
    }

    /**
     * Queries the state of the calls that were sent on an earlier connection to the same process.
     *
     * @param connection a connection that has just been opened.
     */
    void queryLostCalls(final LinkConnection connection) {
        for (InFlightCall call : inFlight.connectionOpened(connection.peer())) {
            counters.increment(Count.CALLS_ASKED);
            writeQuery(call, connection);
        }
    }

    /**
     * Withdraws a call. If it was sent and the connection is lost, it is withdrawn on the next one.
     *
     * @param callId the identity of the call.
     * @param connection the connection, null if there is none.
     */
    void withdraw(final String callId, final LinkConnection connection) {
        Optional<InFlightCall> sent = inFlight.withdraw(callId);
        if (sent.isPresent() && connection != null && connection.isOpen()) {
            writeQuery(sent.get(), connection);
        }
    }

    void cancel(final InFlightCall call, final LinkConnection connection) {
        if (inFlight.remove(call)) {
            writeCancel(call, connection);
        }
    }

    void expire(final LinkConnection connection) {
        for (InFlightCall call : inFlight.expire(clock.nowMs())) {
            writeCancel(call, connection);
        }
    }

    void receive(final CallEnd end) throws LinkProtocolException {
        CallCodec.requireCallId(end.getCallId());
        inFlight.end(end.getNumber(), end.getCallId(), CallCodec.decode(end));
        unacknowledgedCallIds.add(end.getCallId());
    }

    void receive(final CallState state) throws LinkProtocolException {
        inFlight.requireQueried(state.getNumber(), state.getCallId());
        switch (state.getState()) {
            case RUNNING -> {
                if (inFlight.markResumed(state.getNumber(), state.getCallId())) {
                    counters.increment(Count.CALLS_RESUMED);
                }
            }
            case NOT_RECEIVED ->
                inFlight.end(state.getNumber(), state.getCallId(), CallResult.notRun(Reason.CONNECTION_FAILED));
            case LOST ->
                inFlight.end(state.getNumber(), state.getCallId(), CallResult.unknown(Reason.CONNECTION_FAILED));
            default -> throw new LinkProtocolException(Refusal.MALFORMED, "call with an unknown state");
        }
    }

    /**
     * Acknowledges the received results in one frame, if a batch is full or a ping interval has passed.
     *
     * @param connection an open connection.
     */
    void writeAcknowledge(final LinkConnection connection) {
        long nowMs = clock.nowMs();
        boolean due = nowMs - lastAcknowledgedMs >= limits.pingIntervalMs();
        if (unacknowledgedCallIds.size() >= MAXIMUM_BATCHED_ACKNOWLEDGEMENTS
                || due && !unacknowledgedCallIds.isEmpty()) {
            lastAcknowledgedMs = nowMs;
            connection.write(Frame.newBuilder()
                    .setCallAcknowledge(CallAcknowledge.newBuilder().addAllCallIds(unacknowledgedCallIds))
                    .build());
            unacknowledgedCallIds.clear();
        }
    }

    private Optional<InFlightCall> nextWaiting(final LinkConnection connection) {
        return connection.isWritable() ? inFlight.nextWaiting() : Optional.empty();
    }

    private void writeStart(final InFlightCall call, final LinkConnection connection) {
        Frame frame = FrameFactory.of(CallCodec.encode(
                call.number(),
                call.request(),
                connection.stamp().freshness(call.request().deadlineMs(), clock.nowMs())));
        if (frame.getSerializedSize() > limits.maximumFrameBytes()
                || call.request().callId().length() > CallCodec.MAXIMUM_CALL_ID_LENGTH) {
            inFlight.remove(call);
            call.future().complete(CallResult.notRun(Reason.TOO_LARGE));
        } else if (inFlight.markSent(call, connection.peer())) {
            connection.write(frame);
        }
    }

    private void writeQuery(final InFlightCall call, final LinkConnection connection) {
        connection.write(
                FrameFactory.query(call.number(), call.request().callId(), remainingMs(call), call.isWithdrawn()));
    }

    private void writeCancel(final InFlightCall call, final LinkConnection connection) {
        if (connection != null && connection.isOpen()) {
            connection.write(FrameFactory.cancel(call.request().callId(), remainingMs(call)));
        }
    }

    private long remainingMs(final InFlightCall call) {
        return Math.max(0, call.request().deadlineMs() - clock.nowMs());
    }
}
