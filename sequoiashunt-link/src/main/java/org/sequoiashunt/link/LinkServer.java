package org.sequoiashunt.link;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.sequoiashunt.call.CallHandler;
import org.sequoiashunt.peer.NodeAddress;

/**
 * Accepts connections of other nodes, passes their control messages to a receiver and runs their calls.
 *
 * <p>Open one per node with {@link #open}. Closing it also closes the connections, so wait until
 * {@link #outstandingCalls()} is zero before.
 *
 * <p>Thread-safe. Invariant: a connection that violates the protocol is closed and counted, and no other connection is
 * affected.
 */
public final class LinkServer implements AutoCloseable {

    private static final int BACKLOG = 1_024;
    private static final long SWEEP_INTERVAL_MS = 250;
    private static final long CLOSE_TIMEOUT_MS = 2_000;

    private final LinkContext context;
    private final ServedCalls calls;
    private final ControlReceiver controlReceiver;
    private final LinkBudgets budgets;
    private final PauseDetector pauseDetector;
    private final Map<Channel, ServerConnection> connections = new ConcurrentHashMap<>();
    private Channel listener;
    private Future<?> sweepTask;

    private LinkServer(final LinkContext context, final CallHandler handler, final ControlReceiver receiver) {
        this.context = context;
        this.calls = new ServedCalls(handler, context.limits(), context.clock(), context.counters());
        this.controlReceiver = Objects.requireNonNull(receiver, "receiver");
        this.budgets = LinkBudgets.of(context.limits());
        this.pauseDetector = new PauseDetector(
                context.limits().maximumFrameAgeMs(), context.clock().nowMs());
    }

    /**
     * Binds an address and starts to accept connections.
     *
     * @param context objects shared with the client of the node, not null.
     * @param address the IP number and port; port zero binds any free port.
     * @param handler runs calls, not null.
     * @param controlReceiver receives control messages, not null.
     * @return the server, never null.
     * @throws IOException if the address cannot be bound.
     */
    public static LinkServer open(
            final LinkContext context,
            final InetSocketAddress address,
            final CallHandler handler,
            final ControlReceiver receiver)
            throws IOException {
        LinkServer server = new LinkServer(context, handler, receiver);
        server.bind(address);
        return server;
    }

    /**
     * Returns the bound address.
     *
     * @return the address, never null.
     */
    public NodeAddress address() {
        InetSocketAddress bound = (InetSocketAddress) listener.localAddress();
        return new NodeAddress(bound.getAddress().getHostAddress(), bound.getPort());
    }

    /**
     * Counts the calls of other nodes that are running, or whose result is retained because its receiver has not
     * acknowledged it.
     *
     * @return the number of calls.
     */
    public int outstandingCalls() {
        return calls.outstandingCalls();
    }

    /** Stops accepting and closes all connections. */
    @Override
    public void close() {
        sweepTask.cancel(false);
        listener.close().awaitUninterruptibly(CLOSE_TIMEOUT_MS);
        connections.keySet().forEach(Channel::close);
    }

    private void bind(final InetSocketAddress address) throws IOException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(context.threads().serverLoop())
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.ALLOCATOR, context.threads().allocator())
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, FramePipeline.waterMark(context.limits()))
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(final SocketChannel channel) {
                        accept(channel);
                    }
                });
        ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("cannot bind " + address, bound.cause());
        }
        listener = bound.channel();
        sweepTask = context.threads()
                .serverLoop()
                .scheduleWithFixedDelay(this::sweep, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void accept(final SocketChannel channel) {
        if (connections.size() >= context.limits().maximumConnections()) {
            context.counters().countRefusal(Refusal.TOO_MANY_CONNECTIONS);
            channel.close();
            return;
        }
        PartialFrameMonitor partialFrameMonitor = new PartialFrameMonitor(
                context.limits().frameTimeoutMs(), context.clock().nowMs());
        ServerConnection connection =
                new ServerConnection(context, calls, controlReceiver, partialFrameMonitor, budgets);
        channel.pipeline().addLast(new PauseHandler(this::closeAfterPause));
        connections.put(channel, connection);
        channel.closeFuture().addListener(closed -> connections.remove(channel));
        FramePipeline.addHandlers(channel, context, partialFrameMonitor, connection::afterRead);
        channel.pipeline().addLast(connection);
    }

    private void sweep() {
        closeAfterPause();
        calls.expire();
        connections.values().forEach(ServerConnection::closeIfStalledOrIdle);
    }

    private void closeAfterPause() {
        if (pauseDetector.check(context.clock().nowMs())) {
            connections.values().forEach(connection -> connection.refuse(Refusal.PAUSED));
        }
    }
}
