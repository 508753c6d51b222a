package org.sequoiashunt.node.mesh;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Connection to a target that carries one request at a time.
 *
 * <p>Confined to the event loop of its channel. Invariants: an answer goes to the exchange whose request it echoes and
 * to no other; a connection on which bytes arrive that belong to no exchange is closed.
 */
final class TargetConnection extends ChannelInboundHandlerAdapter {

    /** How long a connection that has carried no request yet is kept. */
    private static final long FIRST_IDLE_LIMIT_MS = 1_000;

    private final Channel channel;
    private final Runnable closed;
    private TargetExchange exchange;
    private boolean skipping;
    private long idleLimitMs = FIRST_IDLE_LIMIT_MS;
    private long idleSinceMs;
    private boolean used;

    TargetConnection(final Channel channel, final Runnable closed) {
        this.channel = channel;
        this.closed = closed;
    }

    Channel channel() {
        return channel;
    }

    /** Whether the connection carried a request before: only such a connection may have gone silent unnoticed. */
    boolean wasUsed() {
        return used;
    }

    void begin(final TargetExchange next) {
        exchange = next;
        skipping = false;
    }

    /** Ends the exchange; the connection may carry another one unless it is idle for longer than the limit. */
    void release(final long limitMs) {
        exchange = null;
        used = true;
        idleLimitMs = limitMs;
    }

    void idleSince(final long nowMs) {
        idleSinceMs = nowMs;
    }

    boolean isFree() {
        return channel.isActive() && exchange == null && idleLimitMs > 0;
    }

    boolean isUsable(final long nowMs) {
        return isFree() && nowMs - idleSinceMs < idleLimitMs;
    }

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object message) {
        try {
            if (exchange == null) {
                context.close();
            } else {
                read(message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(final Object message) {
        if (message instanceof HttpResponse response) {
            skipping = !exchange.accepts(response);
        }
        if (exchange != null && !skipping && message instanceof HttpContent content) {
            exchange.append(content);
        }
        if (message instanceof LastHttpContent) {
            skipping = false;
        }
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
        closed.run();
        if (exchange != null) {
            exchange.cut("the target closed the connection");
        }
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
        if (exchange != null) {
            exchange.cut(String.valueOf(cause.getMessage()));
        }
        context.close();
    }
}
