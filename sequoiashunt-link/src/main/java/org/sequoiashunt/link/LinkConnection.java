package org.sequoiashunt.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.sequoiashunt.link.wire.FrameProto.Frame;
import org.sequoiashunt.peer.NodeAddress;

/**
 * TCP connection of a link on the side that opened it: exchanges hello frames, then passes received frames to the link.
 *
 * <p>Confined to the thread of its link. Invariant: no frame is passed to the link after {@link #closeImmediately()} or
 * {@link #close()}.
 */
final class LinkConnection extends SimpleChannelInboundHandler<Frame> {

    private final LinkContext context;
    private final LinkBudgets budgets;
    private final Link link;
    private final LinkHealth health;
    private final PeerStamp stamp = new PeerStamp();
    private final PartialFrameMonitor partialFrameMonitor;
    private final ConnectionBudget.Holder partialFrameHolder = () -> refuse(Refusal.TOO_MUCH_PENDING);
    private FrameWriter writer;
    private Channel channel;
    private LinkIdentity peer;
    private boolean closed;

    LinkConnection(final LinkContext context, final LinkBudgets budgets, final Link link) {
        super(Frame.class);
        this.context = context;
        this.budgets = budgets;
        this.link = link;
        this.health = new LinkHealth(context.limits(), context.clock().nowMs());
        this.partialFrameMonitor = new PartialFrameMonitor(
                context.limits().frameTimeoutMs(), context.clock().nowMs());
    }

    void open(final NodeAddress address) {
        Bootstrap bootstrap = new Bootstrap()
                .group(context.threads().clientLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                        context.limits().openTimeoutMs())
                .option(ChannelOption.ALLOCATOR, context.threads().allocator())
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, FramePipeline.waterMark(context.limits()))
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(final SocketChannel opened) {
                        addHandlers(opened);
                    }
                });
        bootstrap.connect(address.host(), address.port()).addListener(connected -> {
            if (!connected.isSuccess()) {
                link.connectionClosed(this);
            }
        });
    }

    void onBytesReceived() {
        long nowMs = context.clock().nowMs();
        health.markReceived(nowMs);
        if (!closed) {
            budgets.partialFrames()
                    .update(
                            partialFrameHolder,
                            partialFrameMonitor.heldBytes(),
                            partialFrameMonitor.pendingSinceMs(),
                            nowMs);
        }
    }

    void write(final Frame frame) {
        health.markSent();
        writer.write(frame);
    }

    boolean isOpen() {
        return peer != null && !closed;
    }

    boolean isWritable() {
        return isOpen() && channel.isWritable();
    }

    /** Closes the connection if a frame did not arrive completely in time, as its results would keep calls waiting. */
    void closeIfStalled(final long nowMs) {
        if (partialFrameMonitor.isStalled(nowMs)) {
            refuse(Refusal.INCOMPLETE);
        }
    }

    LinkIdentity peer() {
        return peer;
    }

    LinkHealth health() {
        return health;
    }

    PeerStamp stamp() {
        return stamp;
    }

    /** Closes the connection and discards written data that has not been sent. */
    void closeImmediately() {
        closed = true;
        if (channel != null) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }

    /** Closes the connection after the data written to it has been sent. */
    void close() {
        closed = true;
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    public void channelRegistered(final ChannelHandlerContext handlerContext) {
        channel = handlerContext.channel();
        writer = new FrameWriter(channel, budgets.unread(), () -> refuse(Refusal.NOT_READ), context.clock());
        if (closed) {
            channel.close();
        }
    }

    @Override
    public void channelActive(final ChannelHandlerContext handlerContext) {
        channel.writeAndFlush(FrameFactory.hello(context.identity(), 0));
    }

    @Override
    public void channelInactive(final ChannelHandlerContext handlerContext) {
        budgets.partialFrames().remove(partialFrameHolder);
        writer.close();
        link.connectionClosed(this);
    }

    @Override
    public void channelWritabilityChanged(final ChannelHandlerContext handlerContext) {
        link.sendOrConnect();
    }

    @Override
    protected void channelRead0(final ChannelHandlerContext handlerContext, final Frame frame)
            throws LinkProtocolException {
        if (closed) {
            return;
        }
        if (peer == null) {
            handleHello(frame);
        } else if (frame.hasPong()) {
            updateStamp(frame.getPong().getStamp());
        } else {
            link.receive(frame);
        }
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext handlerContext, final Throwable failure) {
        if (!closed) {
            RefusalClassifier.classify(failure).ifPresent(context.counters()::countRefusal);
        }
        closeImmediately();
    }

    private void addHandlers(final SocketChannel opened) {
        FramePipeline.addHandlers(opened, context, partialFrameMonitor, this::onBytesReceived);
        opened.pipeline().addLast(this);
    }

    private void refuse(final Refusal refusal) {
        if (!closed) {
            context.counters().countRefusal(refusal);
        }
        closeImmediately();
    }

    private void handleHello(final Frame frame) throws LinkProtocolException {
        if (!frame.hasHello()) {
            throw new LinkProtocolException(Refusal.UNEXPECTED, "received a frame before hello");
        }
        peer = FrameFactory.identity(frame.getHello());
        updateStamp(frame.getHello().getStamp());
        link.connectionOpened(this);
    }

    private void updateStamp(final long stampMs) {
        stamp.update(stampMs, context.clock().nowMs());
    }
}
