package org.sequoiashunt.node.mesh;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * HTTP connection to a target that carries one request at a time.
 *
 * <p>Confined to the event loop of its channel. Invariants: an answer is passed only to the exchange whose request
 * identity it echoes; the connection is closed if bytes arrive while it has no exchange.
 */
final class TargetConnection extends ChannelInboundHandlerAdapter {

    /** Longest idle time of a connection that has carried no request yet. */
    private static final long FIRST_IDLE_LIMIT_MS = 1_000;

    private final Channel channel;
    private final Runnable onClose;
    private TargetExchange exchange;
    private boolean skippingResponse;
    private long idleLimitMs = FIRST_IDLE_LIMIT_MS;
    private long idleSinceMs;
    private boolean carriedRequest;

    TargetConnection(final Channel channel, final Runnable onClose) {
        this.channel = channel;
        this.onClose = onClose;
    }

    Channel channel() {
        return channel;
    }

    /** Returns whether the connection carried an earlier request: only then may it have broken unnoticed while idle. */
    boolean hasCarriedRequest() {
        return carriedRequest;
    }

    /** Assigns the connection to the exchange that receives the next answer. */
    void attach(final TargetExchange newExchange) {
        exchange = newExchange;
        skippingResponse = false;
    }

    /** Detaches the exchange. The connection may be reused while it is idle for less than the limit, if above 0. */
    void detach(final long newIdleLimitMs) {
        exchange = null;
        carriedRequest = true;
        idleLimitMs = newIdleLimitMs;
    }

    void markIdleSince(final long nowMs) {
        idleSinceMs = nowMs;
    }

    boolean isReusable() {
        return channel.isActive() && exchange == null && idleLimitMs > 0;
    }

    boolean isUsable(final long nowMs) {
        return isReusable() && nowMs - idleSinceMs < idleLimitMs;
    }

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object message) {
        try {
            if (exchange == null) {
                context.close();
            } else {
                handleResponsePart(message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void handleResponsePart(final Object message) {
        if (message instanceof HttpResponse response) {
            skippingResponse = !exchange.accepts(response);
        }
        if (exchange != null && !skippingResponse && message instanceof HttpContent content) {
            exchange.append(content);
        }
        if (message instanceof LastHttpContent) {
            skippingResponse = false;
        }
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
        onClose.run();
        if (exchange != null) {
            exchange.connectionLost("the target closed the connection");
        }
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
        if (exchange != null) {
            exchange.connectionLost(String.valueOf(cause.getMessage()));
        }
        context.close();
    }
}
