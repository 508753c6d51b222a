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
import java.util.function.Consumer;
import java.util.regex.Pattern;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.CallRequest;
import org.sequoiashunt.call.CallResponse;
import org.sequoiashunt.call.CallResult;
import org.sequoiashunt.call.HeaderField;
import org.sequoiashunt.call.Reason;
import org.sequoiashunt.http.HopByHopHeaders;
import org.sequoiashunt.slot.StatedLoad;

/**
 * Sends one request to a target and receives its answer.
 *
 * <p>Confined to the event loop of its connection. Invariants: the exchange ends once; its outcome is not-run only if
 * the target states so or no byte was sent; a successful answer has the target's signature and a complete body.
 */
final class TargetExchange {

    private static final int MISDIRECTED_REQUEST_STATUS = 421;
    private static final int SUCCESS_STATUS_CLASS = 2;
    private static final int INFORMATIONAL_STATUS_CLASS = 1;
    private static final int SWITCHING_PROTOCOLS_STATUS = 101;
    private static final int LOWEST_ERROR_STATUS = 400;
    private static final int STATUS_CLASS_SIZE = 100;

    /** Largest body of an answer: a node's memory holds a few bodies of this size at a time. */
    private static final int MAXIMUM_ANSWER_BYTES = 16 << 20;

    /** Most interim answers and answers to earlier requests before the answer to this one. */
    private static final int MAXIMUM_SKIPPED_ANSWERS = 16;

    /** Idle time after which a target that states no idle timeout may close a connection. */
    private static final long DEFAULT_IDLE_TIMEOUT_MS = 4_000;

    /** Final part of the idle timeout in which a connection is not reused: the target may already be closing it. */
    private static final long IDLE_MARGIN_MS = 900;

    private static final long MS_PER_SECOND = 1_000;
    private static final Pattern NOT_A_DIGIT = Pattern.compile("[^0-9]");
    private static final String KEEP_ALIVE_TIMEOUT = "timeout=";

    private final MeshHeaders headerNames;
    private final CallRequest request;
    private final String requestId;
    private final CompletableFuture<CallResult> result;
    private final AnswerMemory answerMemory;
    private final Consumer<StatedLoad> statedLoads;
    private final long silenceLimitMs;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private TargetConnection connection;
    private ChannelFuture writeFuture;
    private HttpResponse response;
    private long reservedBytes;
    private long skippedBytes;
    private int skippedAnswers;

    TargetExchange(
            final MeshHeaders headerNames,
            final CallRequest request,
            final CompletableFuture<CallResult> result,
            final AnswerMemory answerMemory,
            final Consumer<StatedLoad> statedLoads,
            final long silenceLimitMs) {
        this.statedLoads = statedLoads;
        this.answerMemory = answerMemory;
        this.silenceLimitMs = silenceLimitMs;
        this.headerNames = headerNames;
        this.request = request;
        this.requestId = header(request, headerNames.requestId());
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

    String requestId() {
        return requestId;
    }

    /** Returns the time after sending until which the answer must have begun, in milliseconds. */
    long silenceLimitMs() {
        return silenceLimitMs;
    }

    String callId() {
        return request.callId();
    }

    boolean isHeadRequest() {
        return request.method().equals("HEAD");
    }

    /** Returns the number of bytes of memory that the answer holds. */
    long reservedBytes() {
        return reservedBytes;
    }

    /** Releases the memory of the answer; called when the exchange has ended. */
    void releaseMemory() {
        answerMemory.release(this, reservedBytes);
        reservedBytes = 0;
    }

    /** Fails the exchange and releases its memory for other answers. */
    void giveUp() {
        reject(response, "the largest answer while the memory for answers is used up");
        releaseMemory();
    }

    void start(final TargetConnection chosen, final long remainingMs) {
        connection = chosen;
        chosen.attach(this);
        writeFuture = chosen.channel().writeAndFlush(createMessage(remainingMs));
        writeFuture.addListener(done -> {
            if (!done.isSuccess()) {
                connectionLost("the request could not be written");
            }
        });
    }

    private FullHttpRequest createMessage(final long remainingMs) {
        FullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.method()),
                request.uri(),
                Unpooled.wrappedBuffer(request.body().bytes()),
                DefaultHttpHeadersFactory.headersFactory().withValidation(false),
                DefaultHttpHeadersFactory.trailersFactory());
        request.headers().forEach(field -> message.headers().add(field.name(), field.value()));
        message.headers().set(headerNames.remainingMs(), Long.toString(remainingMs));
        message.headers().set(headerNames.expectedTarget(), request.target());
        if (request.body().length() > 0 || !isBodiless(request.method())) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length());
        }
        return message;
    }

    private static boolean isBodiless(final String method) {
        return method.equals("GET") || method.equals("HEAD") || method.equals("DELETE");
    }

    /**
     * Returns whether an answer belongs to this request. Interim answers and answers to earlier requests of the
     * connection are passed over; any other answer fails the exchange.
     */
    boolean accepts(final HttpResponse candidate) {
        int status = candidate.status().code();
        if (candidate.decoderResult().isFailure()) {
            reject(candidate, String.valueOf(candidate.decoderResult().cause().getMessage()));
            return false;
        }
        if (status / STATUS_CLASS_SIZE == INFORMATIONAL_STATUS_CLASS) {
            if (status == SWITCHING_PROTOCOLS_STATUS) {
                reject(candidate, "a change of the protocol");
            }
            return false;
        }
        String echoed = candidate.headers().get(headerNames.requestId());
        if (echoed == null) { // It may be an earlier answer written once more, so that even a refusal says nothing.
            reject(candidate, "no request identity");
            return false;
        }
        if (echoed.equals(requestId)) {
            response = candidate;
            return true;
        }
        if (!connection.hasCarried(echoed)) {
            reject(candidate, "the identity of a request that the connection has not carried");
        } else if (!hasStatedEnd(candidate)) {
            reject(candidate, "an answer to an earlier request that lasts until the connection ends");
        }
        return false;
    }

    private void reject(final HttpResponse candidate, final String detail) {
        rejectAnswer(
                TargetConnection.traceOf(candidate, headerNames.requestId()).withDetail(detail));
    }

    /** Returns whether a part of an answer may be passed over; fails the exchange if there are too many of them. */
    boolean allowsSkipping(final HttpContent content) {
        skippedBytes += content.content().readableBytes();
        skippedAnswers += content instanceof LastHttpContent ? 1 : 0;
        boolean allowed = !content.decoderResult().isFailure()
                && skippedBytes <= MAXIMUM_ANSWER_BYTES
                && skippedAnswers <= MAXIMUM_SKIPPED_ANSWERS;
        if (!allowed) {
            rejectAnswer(AnswerTrace.NONE.plusBytes(skippedBytes).withDetail("too many bytes before the answer"));
        }
        return allowed;
    }

    private boolean isMarkedNotRun(final HttpResponse candidate) {
        return candidate.headers().contains(headerNames.notExecuted())
                || candidate.status().code() == MISDIRECTED_REQUEST_STATUS;
    }

    void append(final HttpContent content) {
        if (response == null || result.isDone()) {
            return;
        }
        int length = content.content().readableBytes();
        if (content.decoderResult().isFailure()) {
            reject(response, "the body is malformed");
            return;
        }
        if (body.size() + length > MAXIMUM_ANSWER_BYTES || !answerMemory.tryReserve(this, length)) {
            reject(response, "the body is too large");
            return;
        }
        reservedBytes += length;
        try {
            content.content().getBytes(content.content().readerIndex(), body, length);
        } catch (IOException exception) {
            reject(response, String.valueOf(exception.getMessage()));
            return;
        }
        if (content instanceof LastHttpContent) {
            complete();
        }
    }

    private void complete() {
        CallResult ended = resultOf(response);
        if (ended.reason() == Reason.BAD_ANSWER) {
            reject(response, "no signature, an encoded body, or a refusal that is no error");
            return;
        }
        release();
        StatedLoad.parse(response.headers().get(headerNames.load())).ifPresent(statedLoads);
        result.complete(ended);
    }

    private CallResult resultOf(final HttpResponse answer) {
        int status = answer.status().code();
        if (isMarkedNotRun(answer)) {
            return status >= LOWEST_ERROR_STATUS
                    ? CallResult.notRun(Reason.SHED)
                    : CallResult.unknown(Reason.BAD_ANSWER);
        }
        boolean success = status / STATUS_CLASS_SIZE == SUCCESS_STATUS_CLASS;
        boolean signed = answer.headers().contains(headerNames.signature());
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

    /** Keeps the connection only if the request was written completely: a target reads on after an early answer. */
    private void release() {
        boolean reusable = writeFuture.isSuccess()
                && HttpUtil.isKeepAlive(response)
                && response.status().code() != MISDIRECTED_REQUEST_STATUS
                && hasStatedEnd(response);
        connection.detach(reusable ? reusableIdleMs(response) : 0);
    }

    private static boolean hasStatedEnd(final HttpResponse answer) {
        return HttpUtil.isContentLengthSet(answer) || HttpUtil.isTransferEncodingChunked(answer);
    }

    private static long reusableIdleMs(final HttpResponse answer) {
        String stated = answer.headers().get("Keep-Alive");
        int start = stated == null ? -1 : stated.indexOf(KEEP_ALIVE_TIMEOUT);
        if (start < 0) {
            return DEFAULT_IDLE_TIMEOUT_MS - IDLE_MARGIN_MS;
        }
        String digits = NOT_A_DIGIT.split(stated.substring(start + KEEP_ALIVE_TIMEOUT.length()), 2)[0];
        if (digits.isEmpty() || digits.length() > 6) {
            return 0;
        }
        return Long.parseLong(digits) * MS_PER_SECOND - IDLE_MARGIN_MS;
    }

    /** Fails the exchange because its connection was lost: it is unknown whether the target ran the request. */
    void connectionLost(final String detail) {
        fail(Reason.CONNECTION_FAILED, ConnectionEnd.LOST, AnswerTrace.NONE.withDetail(detail));
    }

    /** Fails the exchange because of bytes that are no answer to its request. */
    void rejectAnswer(final AnswerTrace trace) {
        fail(Reason.BAD_ANSWER, ConnectionEnd.INVALID_ANSWER, trace);
    }

    /** Fails the exchange at its deadline. */
    void expire() {
        fail(Reason.DEADLINE, ConnectionEnd.DEADLINE, receivedPart());
    }

    /** Returns whether the answer to the request has begun. */
    boolean hasBegunAnswer() {
        return response != null;
    }

    /** Gives the exchange up because its target stays silent. */
    void giveUpSilent() {
        fail(Reason.UNRESPONSIVE, ConnectionEnd.SILENT, AnswerTrace.NONE);
    }

    /** Ends the exchange because its request was cancelled. */
    void cancel() {
        fail(Reason.CANCELLED, ConnectionEnd.CANCELLED, receivedPart());
    }

    private AnswerTrace receivedPart() {
        return response == null
                ? AnswerTrace.NONE
                : TargetConnection.traceOf(response, headerNames.requestId()).plusBytes(body.size());
    }

    /**
     * Ends the exchange with an unknown outcome and closes the connection, unless the exchange has released it. Closing
     * fails a request that is being written, so the reason is set before.
     */
    private void fail(final Reason reason, final ConnectionEnd end, final AnswerTrace trace) {
        result.complete(CallResult.unknown(reason));
        if (connection != null && connection.isAttachedTo(this)) {
            connection.close(end, trace);
            connection.detach(0);
        }
    }
}
