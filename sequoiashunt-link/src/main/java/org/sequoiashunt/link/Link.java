package org.sequoiashunt.link;

import org.sequoiashunt.call.Reason;
import org.sequoiashunt.link.LinkCounters.Count;
import org.sequoiashunt.link.wire.FrameProto.Frame;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Link to one peer: opens a connection when needed, replaces a silent one, and closes it when idle.
 *
 * <p>Confined to the client loop of {@link LinkThreads}, except {@link #calls()}, which is thread-safe.
 */
final class Link {

    private static final long STABLE_CONNECTION_MS = 1_000; // After a shorter connection, reconnecting is delayed.

    private final NodeAddress address;
    private final LinkContext context;
    private final LinkBudgets budgets;
    private final LinkCalls calls;
    private final ControlQueue controlQueue;
    private final ReconnectDelay reconnectDelay;
    private LinkConnection connection;
    private long connectingSinceMs;
    private long nextAttemptMs;
    private long lastUsedMs;

    Link(
            final NodeAddress address,
            final LinkContext context,
            final LinkBudgets budgets,
            final ReconnectDelay reconnectDelay) {
        this.address = address;
        this.context = context;
        this.budgets = budgets;
        this.calls = new LinkCalls(context.limits(), context.clock(), context.counters());
        this.controlQueue = new ControlQueue(context.counters());
        this.reconnectDelay = reconnectDelay;
        this.lastUsedMs = context.clock().nowMs();
    }

    NodeAddress address() {
        return address;
    }

    InFlightCalls calls() {
        return calls.inFlight();
    }

    /** Sends the waiting messages and calls, or opens a connection for them if none is being opened. */
    void sendOrConnect() {
        if (!calls().isEmpty()) {
            lastUsedMs = context.clock().nowMs();
        }
        if (isOpen()) {
            controlQueue.writeTo(connection);
            calls.writeWaiting(connection);
        } else if (connection == null && hasWaitingMessages() && context.clock().nowMs() >= nextAttemptMs) {
            connect();
        }
    }

    void sendControl(final Frame frame) {
        boolean blocked = isOpen() && !connection.isWritable();
        if (blocked) {
            context.counters().increment(Count.CONTROL_MESSAGES_DROPPED);
            return;
        }
        lastUsedMs = context.clock().nowMs();
        controlQueue.add(frame);
        sendOrConnect();
    }

    void cancel(final InFlightCall call) {
        calls.cancel(call, connection);
    }

    void withdraw(final String callId) {
        calls.withdraw(callId, connection);
    }

    /**
     * Ends expired calls, checks the connection, and sends waiting messages.
     *
     * @return true if the link is unused and retired, so that the caller removes it.
     */
    boolean tick() {
        long nowMs = context.clock().nowMs();
        calls.expire(connection);
        if (isOpen()) {
            connection.closeIfStalled(nowMs);
        }
        if (isOpen()) {
            checkHealth(nowMs);
        } else if (connection != null
                && nowMs - connectingSinceMs >= context.limits().openTimeoutMs()) {
            LinkConnection failed = connection;
            failed.closeImmediately();
            connectionClosed(failed);
        }
        sendOrConnect();
        return isUnused(nowMs);
    }

    void close() {
        calls().close();
        if (connection != null) {
            connection.close();
        }
    }

    void connectionOpened(final LinkConnection opened) {
        context.counters().increment(Count.LINKS_OPENED);
        calls.queryLostCalls(opened);
        sendOrConnect();
    }

    void connectionClosed(final LinkConnection closed) {
        if (closed != connection) {
            return;
        }
        long nowMs = context.clock().nowMs();
        connection = null;
        calls().markSentCallsLost(nowMs);
        if (closed.peer() == null) {
            handleOpenFailure();
        }
        if (closed.peer() != null && nowMs - connectingSinceMs >= STABLE_CONNECTION_MS) {
            reconnectDelay.reset();
            sendOrConnect();
        } else {
            nextAttemptMs = nowMs + reconnectDelay.nextMs();
        }
    }

    void receive(final Frame frame) throws LinkProtocolException {
        switch (frame.getContentCase()) {
            case CALL_END -> calls.receive(frame.getCallEnd());
            case CALL_STATE -> calls.receive(frame.getCallState());
            default ->
                throw new LinkProtocolException(Refusal.UNEXPECTED, "unexpected frame type " + frame.getContentCase());
        }
        calls.writeAcknowledge(connection);
        sendOrConnect();
    }

    private void handleOpenFailure() {
        context.counters().increment(Count.LINKS_FAILED);
        controlQueue.dropAll();
        calls().endUnsent(Reason.CONNECTION_FAILED);
    }

    private void checkHealth(final long nowMs) {
        switch (connection.health().decide(nowMs, !calls().isEmpty())) {
            case PING -> connection.write(FrameFactory.ping());
            case SILENT -> replaceSilentConnection();
            default -> closeIfIdle(nowMs);
        }
        refreshStamp(nowMs);
        if (isOpen()) {
            calls.writeAcknowledge(connection);
        }
    }

    private void refreshStamp(final long nowMs) {
        boolean inUse = nowMs - lastUsedMs < PeerStamp.MAXIMUM_STAMP_AGE_MS;
        if (inUse && isOpen() && connection.stamp().requestIfDue(nowMs)) {
            connection.write(FrameFactory.ping());
        }
    }

    private void replaceSilentConnection() {
        context.counters().increment(Count.LINKS_REPLACED);
        LinkConnection silent = connection;
        silent.closeImmediately();
        connectionClosed(silent);
    }

    private void closeIfIdle(final long nowMs) {
        if (isIdle(nowMs) && calls().isEmpty()) {
            connection.close();
            connection = null;
        }
    }

    private boolean isUnused(final long nowMs) {
        return connection == null && controlQueue.isEmpty() && isIdle(nowMs) && calls().retireIfEmpty();
    }

    /**
     * Returns whether a connection is being opened or awaited. Calls on an open connection need no frequent ticks:
     * their results and the end of the connection are events of the connection.
     *
     * @return true if {@link #tick()} must be called at short intervals.
     */
    boolean needsFrequentTicks() {
        return !isOpen() && (connection != null || hasWaitingMessages());
    }

    private boolean isIdle(final long nowMs) {
        return nowMs - lastUsedMs >= context.limits().idleTimeoutMs();
    }

    private boolean isOpen() {
        return connection != null && connection.isOpen();
    }

    private boolean hasWaitingMessages() {
        return !controlQueue.isEmpty() || !calls().isEmpty();
    }

    private void connect() {
        connectingSinceMs = context.clock().nowMs();
        LinkConnection opening = new LinkConnection(context, budgets, this);
        connection = opening;
        opening.open(address);
    }
}
