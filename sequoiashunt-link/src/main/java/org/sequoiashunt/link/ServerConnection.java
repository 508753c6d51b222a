package org.sequoiashunt.link;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.link.LinkCounters.Count;
import org.sequoiashunt.link.wire.FrameProto.CallEnd;
import org.sequoiashunt.link.wire.FrameProto.CallQuery;
import org.sequoiashunt.link.wire.FrameProto.Frame;
import org.sequoiashunt.link.wire.FrameProto.Hello;

/**
 * Accepted TCP connection: passes control messages and calls to their receivers and writes results.
 *
 * <p>Confined to the thread of its channel, except {@link #callEnded}, which any thread may call.
 */
final class ServerConnection extends SimpleChannelInboundHandler<Frame> implements ResultReceiver {

    private static final int FRAME_OVERHEAD_BYTES = 16;
    private static final int MAXIMUM_DEFERRED_RESULTS = 1_024;

    /** Time in which a sender that is alive opens another connection and resumes its calls on it. */
    private static final long ABANDONED_CALL_TIMEOUT_MS = 500;

    private final LinkContext context;
    private final ServedCalls calls;
    private final ControlReceiver controlReceiver;
    private final PartialFrameMonitor partialFrameMonitor;
    private final LinkBudgets budgets;
    private final ConnectionBudget.Holder partialFrameHolder = () -> refuse(Refusal.TOO_MUCH_PENDING);
    private final Deque<CallEnd> deferred = new ArrayDeque<>();
    private Channel channel;
    private FrameWriter writer;
    private LinkIdentity peer;
    private boolean refused;
    private long lastPongMs;

    ServerConnection(
            final LinkContext context,
            final ServedCalls calls,
            final ControlReceiver receiver,
            final PartialFrameMonitor partialFrameMonitor,
            final LinkBudgets budgets) {
        super(Frame.class);
        this.context = context;
        this.calls = calls;
        this.controlReceiver = receiver;
        this.partialFrameMonitor = partialFrameMonitor;
        this.budgets = budgets;
    }

    @Override
    public void channelActive(final ChannelHandlerContext handlerContext) {
        channel = handlerContext.channel();
        writer = new FrameWriter(channel, budgets.unread(), () -> refuse(Refusal.NOT_READ), context.clock());
        context.counters().increment(Count.CONNECTIONS_ACCEPTED);
        channel.eventLoop().schedule(this::requireHello, context.limits().openTimeoutMs(), TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelInactive(final ChannelHandlerContext handlerContext) {
        context.counters().add(Count.CONNECTIONS_ACCEPTED, -1);
        budgets.partialFrames().remove(partialFrameHolder);
        writer.close();
        deferred.clear();
        channel.eventLoop()
                .schedule(() -> calls.withdrawAbandoned(this), ABANDONED_CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(final ChannelHandlerContext handlerContext, final Frame frame)
            throws LinkProtocolException {
        if (refused) {
            return;
        }
        if (peer == null) {
            handleHello(frame);
            return;
        }
        switch (frame.getContentCase()) {
            case PING -> writePong();
            case CONTROL -> receiveControl(frame);
            case CALL_START -> calls.start(frame.getCallStart(), this);
            case CALL_QUERY -> query(frame.getCallQuery());
            case CALL_CANCEL -> calls.cancel(frame.getCallCancel());
            case CALL_ACKNOWLEDGE -> calls.acknowledge(frame.getCallAcknowledge());
            default ->
                throw new LinkProtocolException(Refusal.UNEXPECTED, "unexpected frame type " + frame.getContentCase());
        }
    }

    @Override
    public void channelWritabilityChanged(final ChannelHandlerContext handlerContext) throws LinkProtocolException {
        if (channel.isWritable()) {
            writeDeferred();
        }
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext handlerContext, final Throwable failure) {
        if (!refused) {
            RefusalClassifier.classify(failure).ifPresent(context.counters()::countRefusal);
        }
        refused = true;
        handlerContext.close();
    }

    @Override
    public void callEnded(final long number, final String callId, final CallResult result) {
        CallEnd end = CallCodec.encode(number, callId, result);
        boolean tooLarge = end.getSerializedSize() > context.limits().maximumFrameBytes() - FRAME_OVERHEAD_BYTES;
        CallResult unknown = CallResult.unknown(Reason.TOO_LARGE).withLoad(result.load());
        CallEnd written = tooLarge ? CallCodec.encode(number, callId, unknown) : end;
        channel.eventLoop().execute(() -> writeOrDefer(written));
    }

    /** Checks the memory limit after bytes arrived, and sends a pong to a peer that is still sending a long frame. */
    void afterRead() {
        if (refused || !channel.isActive()) {
            return;
        }
        long nowMs = context.clock().nowMs();
        budgets.partialFrames()
                .update(
                        partialFrameHolder,
                        partialFrameMonitor.heldBytes(),
                        partialFrameMonitor.pendingSinceMs(),
                        nowMs);
        if (!refused
                && peer != null
                && partialFrameMonitor.pendingBytes() > 0
                && nowMs - lastPongMs >= context.limits().pingIntervalMs()) {
            writePong();
        }
    }

    /** Closes the connection if a frame did not arrive completely in time or nothing was received for a long time. */
    void closeIfStalledOrIdle() {
        long nowMs = context.clock().nowMs();
        if (partialFrameMonitor.isStalled(nowMs)) {
            refuse(Refusal.INCOMPLETE);
        } else if (nowMs - partialFrameMonitor.lastReadMs()
                > 2 * context.limits().idleTimeoutMs()) {
            refuse(Refusal.IDLE);
        }
    }

    private void handleHello(final Frame frame) throws LinkProtocolException {
        if (!frame.hasHello()) {
            throw new LinkProtocolException(Refusal.UNEXPECTED, "received a frame before hello");
        }
        Hello hello = frame.getHello();
        peer = FrameFactory.identity(hello);
        writer.write(FrameFactory.hello(context.identity(), context.clock().nowMs()));
    }

    private void receiveControl(final Frame frame) {
        context.counters().increment(Count.CONTROL_MESSAGES_IN);
        try {
            controlReceiver.receive(
                    peer.node(),
                    context.codec().decode(frame.getControl()),
                    frame.getControl().getSerializedSize());
        } catch (LinkProtocolException exception) {
            context.counters().countRefusal(exception.refusal());
        } catch (RuntimeException exception) {
            context.counters().countRefusal(Refusal.HANDLER_FAILED);
        }
    }

    private void writePong() {
        lastPongMs = context.clock().nowMs();
        if (channel.isWritable()) {
            writer.write(FrameFactory.pong(lastPongMs));
        }
    }

    private void writeOrDefer(final CallEnd end) {
        if (channel.isWritable() || end.getBodyLength() == 0) {
            writer.write(FrameFactory.of(end));
        } else if (deferred.size() < MAXIMUM_DEFERRED_RESULTS) {
            deferred.addLast(end.toBuilder().clearBody().clearHeaders().build());
        } else {
            refuse(Refusal.NOT_READ);
        }
    }

    /**
     * Reads the deferred results again from the ledger, which retains them within its memory limit, and writes them.
     */
    private void writeDeferred() throws LinkProtocolException {
        List<CallEnd> ends = List.copyOf(deferred);
        deferred.clear();
        for (CallEnd end : ends) {
            query(CallQuery.newBuilder()
                    .setNumber(end.getNumber())
                    .setCallId(end.getCallId())
                    .build());
        }
    }

    private void query(final CallQuery query) throws LinkProtocolException {
        calls.query(query, this).ifPresent(state -> writer.write(FrameFactory.of(state)));
    }

    private void requireHello() {
        if (peer == null && channel.isActive()) {
            refuse(Refusal.NO_HELLO);
        }
    }

    /**
     * Counts the reason and closes the connection; later frames are ignored.
     *
     * @param refusal the reason.
     */
    void refuse(final Refusal refusal) {
        if (!refused) {
            context.counters().countRefusal(refusal);
        }
        refused = true;
        channel.close();
    }
}
