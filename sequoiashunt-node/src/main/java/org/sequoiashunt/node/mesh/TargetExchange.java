package org.sequoiashunt.node.mesh;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Pattern;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.HeaderField;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.http.HopByHopHeaders;

/**
 * One request to a target and its answer.
 *
 * <p>Confined to the event loop of its connection. Invariants: it ends once; it ends as not run only if the target says
 * so or no byte was sent; a success has the target's signature and its whole body.
 */
final class TargetExchange {

    private static final int MISDIRECTED = 421;
    private static final int SUCCESS_CLASS = 2;
    private static final int INFORMATIONAL_CLASS = 1;
    private static final int CLASS_WIDTH = 100;

    /** Largest answer: what a node can hold a few times over. */
    private static final int MAXIMUM_ANSWER_BYTES = 16 << 20;

    /** Idle time after which a target may close a connection if it states none. */
    private static final long UNSTATED_IDLE_MS = 4_000;

    /** A connection is not used in the last part of its idle time: the close may be on its way. */
    private static final long IDLE_MARGIN_MS = 900;

    private static final long MS_PER_SECOND = 1_000;
    private static final Pattern NOT_A_DIGIT = Pattern.compile("[^0-9]");
    private static final String KEEP_ALIVE_TIMEOUT = "timeout=";

    private final MeshHeaders names;
    private final CallRequest request;
    private final String requestId;
    private final CompletableFuture<CallResult> result;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private TargetConnection connection;
    private ChannelFuture written;
    private HttpResponse response;

    TargetExchange(final MeshHeaders names, final CallRequest request, final CompletableFuture<CallResult> result) {
        this.names = names;
        this.request = request;
        this.requestId = header(request, names.requestId());
        this.result = result;
    }

    private static String header(final CallRequest request, final String name) {
        for (HeaderField field : request.headers()) {
            if (field.name().equalsIgnoreCase(name)) {
                return field.value();
            }
        }
        return "";
    }

    void start(final TargetConnection chosen, final long remainingMs) {
        connection = chosen;
        chosen.begin(this);
        written = chosen.channel().writeAndFlush(message(remainingMs));
        written.addListener(done -> {
            if (!done.isSuccess()) {
                cut("the request could not be written");
            }
        });
    }

    private FullHttpRequest message(final long remainingMs) {
        FullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.method()),
                request.uri(),
                Unpooled.wrappedBuffer(request.body().bytes()),
                DefaultHttpHeadersFactory.headersFactory().withValidation(false),
                DefaultHttpHeadersFactory.trailersFactory());
        request.headers().forEach(field -> message.headers().add(field.name(), field.value()));
        message.headers().set(names.remainingMs(), Long.toString(remainingMs));
        message.headers().set(names.expectedTarget(), request.target());
        if (request.body().length() > 0 || !isBodiless(request.method())) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length());
        }
        return message;
    }

    private static boolean isBodiless(final String method) {
        return method.equals("GET") || method.equals("HEAD") || method.equals("DELETE");
    }

    /** Tells whether an answer belongs to this request; an answer to another one is passed over. */
    boolean accepts(final HttpResponse candidate) {
        if (candidate.decoderResult().isFailure()) {
            fail(Reason.BAD_ANSWER);
            return false;
        }
        int status = candidate.status().code();
        if (status / CLASS_WIDTH == INFORMATIONAL_CLASS) {
            return false;
        }
        String echoed = candidate.headers().get(names.requestId());
        boolean belongs = echoed == null ? statesNotRun(candidate) : echoed.equals(requestId);
        if (belongs) {
            response = candidate;
        } else if (echoed == null) {
            fail(Reason.BAD_ANSWER);
        }
        return belongs;
    }

    private boolean statesNotRun(final HttpResponse candidate) {
        return candidate.headers().contains(names.notExecuted())
                || candidate.status().code() == MISDIRECTED;
    }

    void append(final HttpContent content) {
        if (response == null || result.isDone()) {
            return;
        }
        int length = content.content().readableBytes();
        if (content.decoderResult().isFailure() || body.size() + length > MAXIMUM_ANSWER_BYTES) {
            fail(Reason.BAD_ANSWER);
            return;
        }
        try {
            content.content().getBytes(content.content().readerIndex(), body, length);
        } catch (IOException exception) {
            fail(Reason.BAD_ANSWER);
            return;
        }
        if (content instanceof LastHttpContent) {
            answered();
        }
    }

    private void answered() {
        CallResult ended = resultOf(response);
        if (ended.reason() == Reason.BAD_ANSWER) {
            fail(Reason.BAD_ANSWER);
            return;
        }
        release();
        result.complete(ended);
    }

    private CallResult resultOf(final HttpResponse answer) {
        if (statesNotRun(answer)) {
            return CallResult.notRun(Reason.SHED);
        }
        int status = answer.status().code();
        boolean success = status / CLASS_WIDTH == SUCCESS_CLASS;
        boolean signed = answer.headers().contains(names.signature());
        boolean encoded = answer.headers().contains(HttpHeaderNames.CONTENT_ENCODING);
        if (!signed || success && encoded) {
            return CallResult.unknown(Reason.BAD_ANSWER);
        }
        List<HeaderField> fields = new ArrayList<>();
        for (Map.Entry<String, String> entry : answer.headers()) {
            fields.add(new HeaderField(entry.getKey(), entry.getValue()));
        }
        return CallResult.complete(
                new CallResponse(status, HopByHopHeaders.remove(fields), Body.of(body.toByteArray())));
    }

    /** The target reads on after an early answer: a connection with a body under way is not used again. */
    private void release() {
        boolean reusable = written.isSuccess()
                && HttpUtil.isKeepAlive(response)
                && response.status().code() != MISDIRECTED
                && (HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response));
        if (reusable) {
            connection.release(idleMs(response));
        } else {
            connection.release(0);
            connection.channel().close();
        }
    }

    private static long idleMs(final HttpResponse answer) {
        String stated = answer.headers().get("Keep-Alive");
        int start = stated == null ? -1 : stated.indexOf(KEEP_ALIVE_TIMEOUT);
        if (start < 0) {
            return UNSTATED_IDLE_MS - IDLE_MARGIN_MS;
        }
        String digits = NOT_A_DIGIT.split(stated.substring(start + KEEP_ALIVE_TIMEOUT.length()), 2)[0];
        if (digits.isEmpty() || digits.length() > 6) {
            return 0;
        }
        return Long.parseLong(digits) * MS_PER_SECOND - IDLE_MARGIN_MS;
    }

    /** Ends the exchange because the connection has ended: whether the target ran the request is not known. */
    void cut(final String cause) {
        fail(Reason.CONNECTION_FAILED);
    }

    void fail(final Reason reason) {
        if (connection != null) {
            connection.release(0);
            connection.channel().close();
        }
        result.complete(CallResult.unknown(reason));
    }
}
