package org.sequoiashunt.node.mesh;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.sequoiashunt.membership.StableHash;
import org.sequoiashunt.peer.NodeAddress;

/**
 * HTTP connection to a target that carries one request at a time.
 *
 * <p>Confined to the event loop of its channel. Invariants: an answer is passed only to the exchange whose request
 * identity it echoes; the connection carries an identity once, so that no copy of an earlier answer echoes the identity
 * of a later request; it is closed if bytes arrive while it has no exchange, and reused only if none are held.
 */
final class TargetConnection extends ChannelInboundHandlerAdapter {

    /** Longest idle time of a connection that has carried no request yet. */
    private static final long FIRST_IDLE_LIMIT_MS = 1_000;

    /** Requests after which a connection is not reused; bounds the memory for their identities. */
    private static final int MAXIMUM_REQUESTS = 1_000;

    /** Latest requests that are named in the log. */
    private static final int LOGGED_REQUESTS = 6;

    private final long number;
    private final NodeAddress target;
    private final String requestIdHeader;
    private final Channel channel;
    private final TargetResponseDecoder decoder;
    private final TargetConnectionObserver observer;
    private final Runnable onClose;
    private final Set<Long> carriedIdentities = new HashSet<>();
    private final Deque<String> latestRequests = new ArrayDeque<>();
    private TargetExchange exchange;
    /** The answer that is being passed over, null if there is none. */
    private AnswerTrace skippedAnswer;

    private long idleLimitMs = FIRST_IDLE_LIMIT_MS;
    private long idleSinceMs;
    private boolean ended;

    TargetConnection(
            final long number,
            final NodeAddress target,
            final String requestIdHeader,
            final Channel channel,
            final TargetResponseDecoder decoder,
            final TargetConnectionObserver observer,
            final Runnable onClose) {
        this.number = number;
        this.target = target;
        this.requestIdHeader = requestIdHeader;
        this.channel = channel;
        this.decoder = decoder;
        this.observer = observer;
        this.onClose = onClose;
    }

    Channel channel() {
        return channel;
    }

    /** Returns the number of the connection, counted from the start of the process. */
    long number() {
        return number;
    }

    NodeAddress target() {
        return target;
    }

    /** Returns the number of requests that the connection has carried. */
    int requestCount() {
        return carriedIdentities.size();
    }

    /** Returns the latest requests of the connection, call identity and request identity, the oldest first. */
    List<String> latestRequests() {
        return List.copyOf(latestRequests);
    }

    /** Returns the identity of the request that waits for its answer, empty if none waits. */
    String awaitedRequestId() {
        return exchange == null ? "" : exchange.requestId();
    }

    /** Returns whether an exchange receives the next answer. */
    boolean isAttachedTo(final TargetExchange candidate) {
        return exchange == candidate;
    }

    /** Returns whether the connection carried an earlier request: only then may it have broken unnoticed while idle. */
    boolean hasCarriedRequest() {
        return carriedIdentities.size() > (exchange == null ? 0 : 1);
    }

    /** Returns whether the connection has carried a request with an identity, or one with the same hash. */
    boolean hasCarried(final String requestId) {
        return carriedIdentities.contains(StableHash.of(requestId));
    }

    /** Assigns the connection to the exchange that receives the next answer. */
    void attach(final TargetExchange newExchange) {
        exchange = newExchange;
        skippedAnswer = null;
        decoder.setHeadRequest(newExchange.isHeadRequest());
        carriedIdentities.add(StableHash.of(newExchange.requestId()));
        if (latestRequests.size() == LOGGED_REQUESTS) {
            latestRequests.removeFirst();
        }
        latestRequests.addLast(newExchange.callId() + " " + newExchange.requestId());
    }

    /** Detaches the exchange. The connection may be reused while it is idle for less than the limit, if above 0. */
    void detach(final long newIdleLimitMs) {
        exchange = null;
        idleLimitMs = newIdleLimitMs;
    }

    void markIdleSince(final long nowMs) {
        idleSinceMs = nowMs;
    }

    /** Returns whether the connection has no exchange and nothing stands between it and the next answer. */
    boolean isReusable() {
        return channel.isActive()
                && exchange == null
                && idleLimitMs > 0
                && carriedIdentities.size() < MAXIMUM_REQUESTS
                && !decoder.isInResponse();
    }

    boolean isUsable(final long nowMs) {
        return isReusable() && nowMs - idleSinceMs < idleLimitMs;
    }

    /** Closes the connection because it is not reused. */
    void closeUnused() {
        if (exchange == null && decoder.isInResponse()) {
            closeForHeldBytes();
        } else if (requestCount() >= MAXIMUM_REQUESTS) {
            close(ConnectionEnd.REQUEST_LIMIT, AnswerTrace.NONE);
        } else {
            close(idleLimitMs > 0 ? ConnectionEnd.IDLE : ConnectionEnd.NOT_PERSISTENT, AnswerTrace.NONE);
        }
    }

    /** Closes the connection and reports its end; later calls have no effect. */
    void close(final ConnectionEnd end, final AnswerTrace trace) {
        if (!ended) {
            ended = true;
            observer.connectionClosed(this, end, trace);
            channel.close();
        }
    }

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object message) {
        try {
            if (exchange == null) {
                closeForUnexpectedPart(message);
            } else {
                handleResponsePart(message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void closeForUnexpectedPart(final Object message) {
        close(
                ConnectionEnd.UNEXPECTED_BYTES,
                message instanceof HttpResponse response ? traceOf(response) : AnswerTrace.NONE);
    }

    private void closeForHeldBytes() {
        close(ConnectionEnd.UNEXPECTED_BYTES, traceOfHeldBytes("bytes without a request"));
    }

    private AnswerTrace traceOf(final HttpResponse response) {
        return traceOf(response, requestIdHeader);
    }

    static AnswerTrace traceOf(final HttpResponse response, final String requestIdHeader) {
        String requestId = response.headers().get(requestIdHeader);
        return new AnswerTrace("", response.status().code(), requestId == null ? "" : requestId, 0);
    }

    private AnswerTrace traceOfHeldBytes(final String detail) {
        Matcher field = Pattern.compile("(?im)^" + Pattern.quote(requestIdHeader) + ":[ \t]*(.*?)[ \t]*$")
                .matcher(decoder.heldText());
        return new AnswerTrace(detail, 0, field.find() ? field.group(1) : "", decoder.heldBytes());
    }

    private void handleResponsePart(final Object message) {
        if (message instanceof HttpResponse response) {
            skippedAnswer = exchange.accepts(response) ? null : traceOf(response);
        }
        if (exchange != null && message instanceof HttpContent content) {
            if (skippedAnswer == null) {
                exchange.append(content);
            } else {
                skip(content);
            }
        }
    }

    private void skip(final HttpContent content) {
        skippedAnswer = skippedAnswer.plusBytes(content.content().readableBytes());
        boolean allowed = exchange.allowsSkipping(content);
        if (content instanceof LastHttpContent) {
            if (allowed && skippedAnswer.isFinal()) {
                observer.answerSkipped(this, skippedAnswer);
            }
            skippedAnswer = null;
        }
    }

    /** Closes an idle connection for which bytes arrived that are no complete head. */
    @Override
    public void channelReadComplete(final ChannelHandlerContext context) {
        if (exchange == null && decoder.isInResponse()) {
            closeForHeldBytes();
        }
        context.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
        onClose.run();
        if (exchange != null) {
            exchange.connectionLost("the target closed the connection");
        }
        closeUnused();
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
        boolean malformed = cause instanceof DecoderException;
        String detail = String.valueOf((malformed && cause.getCause() != null ? cause.getCause() : cause).getMessage());
        AnswerTrace trace = traceOfHeldBytes(detail);
        if (exchange == null) {
            close(malformed ? ConnectionEnd.UNEXPECTED_BYTES : ConnectionEnd.IDLE, trace);
        } else if (malformed) {
            exchange.rejectAnswer(trace);
        } else {
            exchange.connectionLost(detail);
        }
    }
}
