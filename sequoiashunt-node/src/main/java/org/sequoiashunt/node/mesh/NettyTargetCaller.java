package org.sequoiashunt.node.mesh;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.call.TargetCaller;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.time.Clock;

/**
 * Sends calls to the targets of this VM over kept HTTP connections.
 *
 * <p>Built on Netty's HTTP codec: Undertow's client takes the first answer on a connection for that of the latest
 * request, and cannot pass over a late answer to an earlier one.
 *
 * <p>Thread-safe; never blocks. Connections are confined to one event loop. Invariants: a connection carries one
 * request at a time; an exchange ends soon after its deadline, whatever the target does.
 */
public final class NettyTargetCaller implements TargetCaller, AutoCloseable {

    /** Time in which a connection on the same VM stands, or the target is down. */
    private static final int CONNECT_TIMEOUT_MS = 600;

    /** Time after the deadline for the target's own answer to arrive. */
    private static final long DEADLINE_SLACK_MS = 40;

    private final EventLoop loop;
    private final MeshHeaders names;
    private final Clock clock;
    private final Map<NodeAddress, Deque<TargetConnection>> idle = new HashMap<>();

    private NettyTargetCaller(final EventLoop loop, final MeshHeaders names, final Clock clock) {
        this.loop = Objects.requireNonNull(loop, "loop");
        this.names = Objects.requireNonNull(names, "names");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Creates a caller.
     *
     * @param loop runs the connections; it belongs to the caller of this method and outlives this object, not null.
     * @param names the names of the headers, not null.
     * @param clock the clock, not null.
     * @return the caller, never null.
     */
    public static NettyTargetCaller on(final EventLoop loop, final MeshHeaders names, final Clock clock) {
        return new NettyTargetCaller(loop, names, clock);
    }

    @Override
    public CompletableFuture<CallResult> call(final NodeAddress target, final CallRequest request) {
        CompletableFuture<CallResult> result = new CompletableFuture<>();
        if (loop.inEventLoop()) {
            begin(target, request, result);
        } else {
            loop.execute(() -> begin(target, request, result));
        }
        return result;
    }

    private void begin(
            final NodeAddress target, final CallRequest request, final CompletableFuture<CallResult> result) {
        long nowMs = clock.nowMs();
        if (result.isDone()) {
            return;
        }
        if (request.deadlineMs() <= nowMs) {
            result.complete(CallResult.notRun(Reason.DEADLINE));
            return;
        }
        TargetConnection kept = takeIdle(target, nowMs);
        if (kept != null) {
            send(target, kept, request, result);
        } else {
            connect(target, request, result);
        }
    }

    private TargetConnection takeIdle(final NodeAddress target, final long nowMs) {
        Deque<TargetConnection> connections = idle.get(target);
        while (connections != null && !connections.isEmpty()) {
            TargetConnection candidate = connections.pop();
            if (candidate.isUsable(nowMs)) {
                return candidate;
            }
            candidate.channel().close();
        }
        return null;
    }

    private void connect(
            final NodeAddress target, final CallRequest request, final CompletableFuture<CallResult> result) {
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(final SocketChannel channel) {
                        TargetConnection connection = new TargetConnection(channel, () -> forget(target, channel));
                        channel.pipeline()
                                .addLast(new HttpRequestEncoder(), new HttpResponseDecoder())
                                .addLast("connection", connection);
                    }
                });
        ChannelFuture connecting = bootstrap.connect(target.host(), target.port());
        connecting.addListener(done -> {
            if (!done.isSuccess()) {
                result.complete(CallResult.notRun(Reason.CONNECTION_FAILED));
                return;
            }
            Channel channel = connecting.channel();
            send(target, (TargetConnection) channel.pipeline().get("connection"), request, result);
        });
    }

    private void send(
            final NodeAddress target,
            final TargetConnection connection,
            final CallRequest request,
            final CompletableFuture<CallResult> result) {
        long remainingMs = request.deadlineMs() - clock.nowMs();
        if (result.isDone() || remainingMs <= 0) {
            keep(target, connection);
            result.complete(CallResult.notRun(Reason.DEADLINE));
            return;
        }
        TargetExchange exchange = new TargetExchange(names, request, result);
        ScheduledFuture<?> timeout = loop.schedule(
                () -> timedOut(target, connection, exchange), remainingMs + DEADLINE_SLACK_MS, TimeUnit.MILLISECONDS);
        result.whenComplete((ended, failure) -> loop.execute(() -> {
            timeout.cancel(false);
            if (result.isCancelled()) {
                exchange.fail(Reason.CANCELLED);
            } else {
                keep(target, connection);
            }
        }));
        exchange.start(connection, remainingMs);
    }

    /** A kept connection may have gone silent; then the others to the same target have, too. */
    private void timedOut(final NodeAddress target, final TargetConnection connection, final TargetExchange exchange) {
        if (connection.wasUsed()) {
            Deque<TargetConnection> connections = idle.remove(target);
            if (connections != null) {
                connections.forEach(each -> each.channel().close());
            }
        }
        exchange.fail(Reason.DEADLINE);
    }

    private void keep(final NodeAddress target, final TargetConnection connection) {
        if (connection.isFree()) {
            connection.idleSince(clock.nowMs());
            Deque<TargetConnection> connections = idle.computeIfAbsent(target, unused -> new ArrayDeque<>());
            if (!connections.contains(connection)) {
                connections.push(connection);
            }
        } else {
            connection.channel().close();
        }
    }

    private void forget(final NodeAddress target, final Channel channel) {
        Deque<TargetConnection> connections = idle.get(target);
        if (connections != null) {
            connections.removeIf(connection -> connection.channel() == channel);
            if (connections.isEmpty()) {
                idle.remove(target);
            }
        }
    }

    /** Closes the idle connections; exchanges under way go on. */
    @Override
    public void close() {
        loop.execute(() -> {
            List<TargetConnection> all = new ArrayList<>();
            idle.values().forEach(all::addAll);
            idle.clear();
            all.forEach(connection -> connection.channel().close());
        });
    }
}
