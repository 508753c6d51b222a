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
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.call.TargetCaller;
import org.sequoiashunt.peer.NodeAddress;
import org.sequoiashunt.time.Clock;

/**
 * Sends calls to the targets of this VM over persistent HTTP connections.
 *
 * <p>Built on Netty's HTTP codec: Undertow's client takes the first answer on a connection for the answer to the latest
 * request, and cannot skip a late answer to an earlier one.
 *
 * <p>Thread-safe; never blocks. Connections are confined to one event loop. Invariants: a connection carries one
 * request at a time; an exchange ends soon after its deadline, whatever the target does.
 */
public final class NettyTargetCaller implements TargetCaller, AutoCloseable {

    /** A target on the same VM that has not accepted a connection after this time is down. */
    private static final int CONNECT_TIMEOUT_MS = 600;

    /** Time after the deadline during which an answer that the target sent at its deadline may still arrive. */
    private static final long DEADLINE_GRACE_MS = 40;

    /**
     * Most bytes of the bodies of all answers that are being received: a small part of a node's memory. Targets in
     * trouble may send answers without end on all of their connections at the same time.
     */
    static final long MAXIMUM_ANSWER_MEMORY_BYTES = 24 << 20;

    private final EventLoop loop;
    private final AnswerMemory answerMemory = new AnswerMemory(MAXIMUM_ANSWER_MEMORY_BYTES);
    private final MeshHeaders headerNames;
    private final Clock clock;
    private final TargetConnectionObserver observer;
    private final StatedLoadListener statedLoads;
    private final Set<String> singleHeaderNames;
    private final Map<NodeAddress, Deque<TargetConnection>> idleConnections = new HashMap<>();
    private long openedConnections;

    private NettyTargetCaller(
            final EventLoop loop,
            final MeshHeaders headerNames,
            final Clock clock,
            final TargetConnectionObserver observer,
            final StatedLoadListener statedLoads) {
        this.statedLoads = Objects.requireNonNull(statedLoads, "statedLoads");
        this.loop = Objects.requireNonNull(loop, "loop");
        this.headerNames = Objects.requireNonNull(headerNames, "headerNames");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.observer = Objects.requireNonNull(observer, "observer");
        this.singleHeaderNames = Set.of(
                headerNames.requestId().toLowerCase(Locale.ROOT),
                headerNames.signature().toLowerCase(Locale.ROOT),
                headerNames.notExecuted().toLowerCase(Locale.ROOT));
    }

    /**
     * Creates a caller that ignores the loads that targets state.
     *
     * @param loop the event loop of the connections, not null; must outlive this object, which does not shut it down.
     * @param headerNames the names of the headers that are exchanged with targets, not null.
     * @param clock the time source of the deadlines, not null.
     * @param observer receives the events of the connections, not null.
     * @return a caller without connections, never null.
     */
    static NettyTargetCaller create(
            final EventLoop loop,
            final MeshHeaders headerNames,
            final Clock clock,
            final TargetConnectionObserver observer) {
        return create(loop, headerNames, clock, observer, (address, load, sentMs) -> {});
    }

    /**
     * Creates a caller.
     *
     * @param loop the event loop of the connections, not null; must outlive this object, which does not shut it down.
     * @param headerNames the names of the headers that are exchanged with targets, not null.
     * @param clock the time source of the deadlines, not null.
     * @param observer receives the events of the connections, not null.
     * @param statedLoads receives the loads that targets state in their answers, not null.
     * @return a caller without connections, never null.
     */
    static NettyTargetCaller create(
            final EventLoop loop,
            final MeshHeaders headerNames,
            final Clock clock,
            final TargetConnectionObserver observer,
            final StatedLoadListener statedLoads) {
        return new NettyTargetCaller(loop, headerNames, clock, observer, statedLoads);
    }

    @Override
    public CompletableFuture<CallResult> call(final NodeAddress target, final CallRequest request) {
        return call(target, request, NO_SILENCE_LIMIT);
    }

    @Override
    public CompletableFuture<CallResult> call(
            final NodeAddress target, final CallRequest request, final long silenceLimitMs) {
        CompletableFuture<CallResult> result = new CompletableFuture<>();
        if (loop.inEventLoop()) {
            startCall(target, request, silenceLimitMs, result);
        } else {
            loop.execute(() -> startCall(target, request, silenceLimitMs, result));
        }
        return result;
    }

    private void startCall(
            final NodeAddress target,
            final CallRequest request,
            final long silenceLimitMs,
            final CompletableFuture<CallResult> result) {
        long nowMs = clock.nowMs();
        if (result.isDone()) {
            return;
        }
        if (request.deadlineMs() <= nowMs) {
            result.complete(CallResult.notRun(Reason.DEADLINE));
            return;
        }
        TargetExchange exchange = new TargetExchange(
                headerNames,
                request,
                result,
                answerMemory,
                load -> statedLoads.loadStated(target, load, nowMs),
                silenceLimitMs);
        TargetConnection idleConnection = takeIdle(target, exchange.requestId(), nowMs);
        if (idleConnection != null) {
            send(idleConnection, exchange, request, result);
        } else {
            connect(target, exchange, request, result);
        }
    }

    /** Returns the number of bytes of the answers that are being received. */
    long answerMemoryBytes() {
        return answerMemory.reservedBytes();
    }

    /** Takes the connection that became idle last among those that have not carried a request with this identity. */
    private TargetConnection takeIdle(final NodeAddress target, final String requestId, final long nowMs) {
        Deque<TargetConnection> connections = idleConnections.get(target);
        if (connections == null) {
            return null;
        }
        for (Iterator<TargetConnection> each = connections.iterator(); each.hasNext(); ) {
            TargetConnection candidate = each.next();
            if (!candidate.isUsable(nowMs)) {
                each.remove();
                candidate.closeUnused();
            } else if (!candidate.hasCarried(requestId)) {
                each.remove();
                return candidate;
            }
        }
        return null;
    }

    private void connect(
            final NodeAddress target,
            final TargetExchange exchange,
            final CallRequest request,
            final CompletableFuture<CallResult> result) {
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(final SocketChannel channel) {
                        TargetResponseDecoder decoder = new TargetResponseDecoder(singleHeaderNames);
                        openedConnections++;
                        TargetConnection connection = new TargetConnection(
                                openedConnections,
                                target,
                                headerNames.requestId(),
                                channel,
                                decoder,
                                observer,
                                () -> removeIdle(target, channel));
                        channel.pipeline()
                                .addLast(new HttpRequestEncoder(), decoder)
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
            send((TargetConnection) channel.pipeline().get("connection"), exchange, request, result);
        });
    }

    private void send(
            final TargetConnection connection,
            final TargetExchange exchange,
            final CallRequest request,
            final CompletableFuture<CallResult> result) {
        long remainingMs = request.deadlineMs() - clock.nowMs();
        if (result.isDone() || remainingMs <= 0) {
            keepIfReusable(connection);
            result.complete(CallResult.notRun(Reason.DEADLINE));
            return;
        }
        ScheduledFuture<?> timeout = loop.schedule(
                () -> handleTimeout(connection, exchange), remainingMs + DEADLINE_GRACE_MS, TimeUnit.MILLISECONDS);
        if (exchange.silenceLimitMs() < remainingMs) {
            ScheduledFuture<?> silence = loop.schedule(
                    () -> handleSilence(connection, exchange), exchange.silenceLimitMs(), TimeUnit.MILLISECONDS);
            result.whenComplete((ended, failure) -> silence.cancel(false));
        }
        result.whenComplete((ended, failure) -> loop.execute(() -> {
            timeout.cancel(false);
            exchange.releaseMemory();
            if (result.isCancelled()) {
                exchange.cancel();
            }
            keepIfReusable(connection);
        }));
        exchange.start(connection, remainingMs);
    }

    private void handleTimeout(final TargetConnection connection, final TargetExchange exchange) {
        closeSuspectConnections(connection);
        exchange.expire();
    }

    private void handleSilence(final TargetConnection connection, final TargetExchange exchange) {
        if (!exchange.hasBegunAnswer()) {
            closeSuspectConnections(connection);
            exchange.giveUpSilent();
        }
    }

    /** After a timeout on a reused connection, also closes the target's idle ones: all may have broken unnoticed. */
    private void closeSuspectConnections(final TargetConnection connection) {
        if (connection.hasCarriedRequest()) {
            Deque<TargetConnection> connections = idleConnections.remove(connection.target());
            if (connections != null) {
                connections.forEach(TargetConnection::closeUnused);
            }
        }
    }

    private void keepIfReusable(final TargetConnection connection) {
        if (connection.isReusable()) {
            connection.markIdleSince(clock.nowMs());
            Deque<TargetConnection> connections =
                    idleConnections.computeIfAbsent(connection.target(), unused -> new ArrayDeque<>());
            if (!connections.contains(connection)) {
                connections.push(connection);
            }
        } else {
            connection.closeUnused();
        }
    }

    private void removeIdle(final NodeAddress target, final Channel channel) {
        Deque<TargetConnection> connections = idleConnections.get(target);
        if (connections != null) {
            connections.removeIf(connection -> connection.channel() == channel);
            if (connections.isEmpty()) {
                idleConnections.remove(target);
            }
        }
    }

    /** Closes the idle connections; running exchanges continue. */
    @Override
    public void close() {
        loop.execute(() -> {
            List<TargetConnection> all = new ArrayList<>();
            idleConnections.values().forEach(all::addAll);
            idleConnections.clear();
            all.forEach(TargetConnection::closeUnused);
        });
    }
}
