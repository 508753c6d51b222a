package org.sequoiashunt.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.link.LinkCounters.Count;
import org.sequoiashunt.link.wire.FrameProto.CallAcknowledge;
import org.sequoiashunt.link.wire.FrameProto.CallEnd;
import org.sequoiashunt.link.wire.FrameProto.CallState;
import org.sequoiashunt.link.wire.FrameProto.Frame;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Link to one peer: a connection that is opened when needed, replaced when it goes silent, and closed when not used.
 *
 * <p>Confined to the opening thread of {@link LinkThreads}, but for {@link #calls()}, which is thread-safe.
 */
final class Link {

    private static final long MAXIMUM_QUEUED_BYTES = 262_144;
    private static final long STABLE_MS = 1_000; // A connection that lasted less is replaced with a delay only.
    private static final long STAMP_AGE_LIMIT_MS = 5_000; // 1,000 ppm of clock drift then shift an age by 5 ms.
    private static final int ACKNOWLEDGE_BATCH = 64;

    private final NodeAddress address;
    private final LinkContext context;
    private final InFlightCalls calls;
    private final ReconnectDelay reconnectDelay;
    private final Deque<Frame> queued = new ArrayDeque<>();
    private final List<String> unacknowledged = new ArrayList<>();
    private long queuedBytes;
    private LinkConnection connection;
    private long connectingSinceMs;
    private long nextAttemptMs;
    private long lastUsedMs;
    private long lastAcknowledgedMs;

    Link(final NodeAddress address, final LinkContext context, final ReconnectDelay reconnectDelay) {
        this.address = address;
        this.context = context;
        this.calls = new InFlightCalls(context.limits());
        this.reconnectDelay = reconnectDelay;
        this.lastUsedMs = context.clock().nowMs();
    }

    NodeAddress address() {
        return address;
    }

    InFlightCalls calls() {
        return calls;
    }

    /** Sends what waits, or opens a connection for it. */
    void pump() {
        if (isOpen()) {
            writeQueued();
            writeWaiting();
        } else if (connection == null && isNeeded() && context.clock().nowMs() >= nextAttemptMs) {
            connect();
        }
    }

    void sendControl(final Frame frame) {
        boolean full = isOpen() ? !connection.isWritable() : queuedBytes >= MAXIMUM_QUEUED_BYTES;
        if (full || calls.isRetired()) {
            context.counters().increment(Count.CONTROL_MESSAGES_DROPPED);
            return;
        }
        lastUsedMs = context.clock().nowMs();
        queued.addLast(frame);
        queuedBytes += frame.getSerializedSize();
        pump();
    }

    void cancel(final InFlightCall call) {
        if (calls.remove(call)) {
            writeCancel(call);
        }
    }

    /**
     * Does what is due.
     *
     * @return true if the link is of no more use.
     */
    boolean tick() {
        long nowMs = context.clock().nowMs();
        calls.expire(nowMs).forEach(this::writeCancel);
        if (isOpen()) {
            watch(nowMs);
        } else if (connection != null
                && nowMs - connectingSinceMs >= context.limits().openTimeoutMs()) {
            LinkConnection failed = connection;
            failed.abandon();
            connectionClosed(failed);
        }
        pump();
        return isUnused(nowMs);
    }

    void close() {
        calls.close();
        if (connection != null) {
            connection.close();
        }
    }

    void connectionOpened(final LinkConnection opened) {
        context.counters().increment(Count.LINKS_OPENED);
        for (InFlightCall call : calls.connectionOpened(opened.peer())) {
            context.counters().increment(Count.CALLS_ASKED);
            opened.write(Frames.query(call.number(), call.request().callId(), remainingMs(call)));
        }
        pump();
    }

    void connectionClosed(final LinkConnection closed) {
        if (closed != connection) {
            return;
        }
        long nowMs = context.clock().nowMs();
        connection = null;
        calls.connectionLost(nowMs);
        if (closed.peer() == null) {
            openingFailed();
        }
        if (closed.peer() != null && nowMs - connectingSinceMs >= STABLE_MS) {
            reconnectDelay.reset();
            pump();
        } else {
            nextAttemptMs = nowMs + reconnectDelay.nextMs();
        }
    }

    void receive(final Frame frame) throws LinkProtocolException {
        switch (frame.getContentCase()) {
            case CALL_END -> receiveEnd(frame.getCallEnd());
            case CALL_STATE -> receiveState(frame.getCallState());
            default -> throw new LinkProtocolException(Refusal.UNEXPECTED, "frame " + frame.getContentCase());
        }
    }

    private void openingFailed() {
        context.counters().increment(Count.LINKS_FAILED);
        context.counters().add(Count.CONTROL_MESSAGES_DROPPED, queued.size());
        queued.clear();
        queuedBytes = 0;
        calls.refuseWaiting(Reason.CONNECTION_FAILED);
    }

    private void receiveEnd(final CallEnd end) throws LinkProtocolException {
        calls.end(end.getNumber(), end.getCallId(), CallCodec.decode(end));
        unacknowledged.add(end.getCallId());
        if (unacknowledged.size() >= ACKNOWLEDGE_BATCH) {
            writeAcknowledge(context.clock().nowMs());
        }
        pump();
    }

    private void receiveState(final CallState state) throws LinkProtocolException {
        switch (state.getState()) {
            case RUNNING -> {
                if (calls.found(state.getNumber(), state.getCallId())) {
                    context.counters().increment(Count.CALLS_RESUMED);
                }
            }
            case NOT_RECEIVED ->
                calls.end(state.getNumber(), state.getCallId(), CallResult.notRun(Reason.CONNECTION_FAILED));
            case LOST -> calls.end(state.getNumber(), state.getCallId(), CallResult.unknown(Reason.CONNECTION_FAILED));
            default -> throw new LinkProtocolException(Refusal.MALFORMED, "call in no known state");
        }
    }

    private void watch(final long nowMs) {
        switch (connection.health().decide(nowMs, !calls.isEmpty())) {
            case PING -> connection.write(Frames.ping());
            case SILENT -> replace();
            default -> closeIfIdle(nowMs);
        }
        refreshStamp(nowMs);
        if (isOpen() && nowMs - lastAcknowledgedMs >= context.limits().pingIntervalMs()) {
            writeAcknowledge(nowMs);
        }
    }

    private void refreshStamp(final long nowMs) {
        boolean inUse = nowMs - lastUsedMs < STAMP_AGE_LIMIT_MS;
        if (inUse && isOpen() && connection.isStampDue(STAMP_AGE_LIMIT_MS)) {
            connection.write(Frames.ping());
        }
    }

    private void replace() {
        context.counters().increment(Count.LINKS_REPLACED);
        LinkConnection silent = connection;
        silent.abandon();
        connectionClosed(silent);
    }

    private void closeIfIdle(final long nowMs) {
        if (isIdle(nowMs) && calls.isEmpty()) {
            connection.close();
            connection = null;
        }
    }

    private boolean isUnused(final long nowMs) {
        return connection == null && queued.isEmpty() && isIdle(nowMs) && calls.retireIfEmpty();
    }

    private boolean isIdle(final long nowMs) {
        return nowMs - lastUsedMs >= context.limits().idleLimitMs();
    }

    private boolean isOpen() {
        return connection != null && connection.isOpen();
    }

    private boolean isNeeded() {
        return !queued.isEmpty() || !calls.isEmpty();
    }

    private void writeQueued() {
        while (!queued.isEmpty() && connection.isWritable()) {
            Frame frame = queued.removeFirst();
            queuedBytes -= frame.getSerializedSize();
            connection.write(frame);
            context.counters().increment(Count.CONTROL_MESSAGES_OUT);
        }
    }

    private void writeWaiting() {
        Optional<InFlightCall> call = connection.isWritable() ? calls.nextWaiting() : Optional.empty();
        while (call.isPresent()) {
            writeStart(call.get());
            call = connection.isWritable() ? calls.nextWaiting() : Optional.empty();
        }
    }

    private void writeStart(final InFlightCall call) {
        lastUsedMs = context.clock().nowMs();
        Frame frame = Frames.of(CallCodec.encode(
                call.number(),
                call.request(),
                connection.freshness(call.request().deadlineMs())));
        if (frame.getSerializedSize() > context.limits().maximumFrameBytes()) {
            calls.remove(call);
            call.future().complete(CallResult.notRun(Reason.TOO_LARGE));
        } else if (calls.markSent(call, connection.peer())) {
            connection.write(frame);
        }
    }

    private void writeCancel(final InFlightCall call) {
        if (isOpen()) {
            connection.write(Frames.cancel(call.request().callId(), remainingMs(call)));
        }
    }

    private void writeAcknowledge(final long nowMs) {
        lastAcknowledgedMs = nowMs;
        if (!unacknowledged.isEmpty()) {
            connection.write(Frame.newBuilder()
                    .setCallAcknowledge(CallAcknowledge.newBuilder().addAllCallIds(unacknowledged))
                    .build());
            unacknowledged.clear();
        }
    }

    private long remainingMs(final InFlightCall call) {
        return Math.max(0, call.request().deadlineMs() - context.clock().nowMs());
    }

    private void connect() {
        connectingSinceMs = context.clock().nowMs();
        LinkConnection opening = new LinkConnection(context, this);
        connection = opening;
        Bootstrap bootstrap = new Bootstrap()
                .group(context.threads().opening())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                        context.limits().openTimeoutMs())
                .option(ChannelOption.ALLOCATOR, context.threads().allocator())
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, FramePipeline.waterMark(context.limits()))
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(final SocketChannel channel) {
                        addHandlers(channel, opening);
                    }
                });
        bootstrap.connect(address.host(), address.port()).addListener(connected -> {
            if (!connected.isSuccess()) {
                connectionClosed(opening);
            }
        });
    }

    private void addHandlers(final SocketChannel channel, final LinkConnection opening) {
        InboundProgress progress = new InboundProgress(
                context.limits().frameTimeLimitMs(), context.clock().nowMs());
        FramePipeline.addHandlers(channel, context, progress, opening::received);
        channel.pipeline().addLast(opening);
    }
}
