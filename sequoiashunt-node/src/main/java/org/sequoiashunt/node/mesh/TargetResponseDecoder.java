package org.sequoiashunt.node.mesh;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ByteProcessor;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.sequoiashunt.http.MalformedHeadException;
import org.sequoiashunt.http.ResponseHeadValidator;

/**
 * Decodes HTTP responses and accepts a head only if all of its bytes are one head.
 *
 * <p>Netty's decoder passes over lines that are no header field, joins folded lines and keeps fields that stand twice.
 * This class therefore checks each line of a head before that decoder reads it, and hands on only complete heads: bytes
 * of an incomplete head stay in the buffer, where {@link #heldBytes()} sees them.
 *
 * <p>Confined to the event loop of its channel.
 */
final class TargetResponseDecoder extends HttpResponseDecoder {

    /** Largest head: the sum of what Netty's decoder accepts for the first line and for all header fields. */
    private static final int MAXIMUM_HEAD_BYTES = 12_288;

    /** Most bytes of an incomplete head that are quoted. */
    private static final int QUOTED_BYTES = 2_048;

    private static final byte CARRIAGE_RETURN = '\r';
    private static final String VERSION_PREFIX = "HTTP/1.";

    private final Set<String> singleNames;
    private ResponseHeadValidator head;
    private boolean inHead = true;
    private int checkedBytes;
    private boolean headRequest;

    /**
     * Creates a decoder.
     *
     * @param singleNames the names, in lower case, of the header fields that may stand only once, not null.
     */
    TargetResponseDecoder(final Set<String> singleNames) {
        this.singleNames = singleNames;
        this.head = new ResponseHeadValidator(singleNames);
    }

    /** Sets whether the next response answers a HEAD request, so that it has no body. */
    void setHeadRequest(final boolean newHeadRequest) {
        headRequest = newHeadRequest;
    }

    /** Returns the number of bytes that were received and not yet passed on as a part of a response. */
    int heldBytes() {
        return actualReadableBytes();
    }

    /** Returns the beginning of the held bytes. */
    String heldText() {
        ByteBuf held = internalBuffer();
        int length = Math.min(QUOTED_BYTES, held.readableBytes());
        return held.toString(held.readerIndex(), length, StandardCharsets.ISO_8859_1);
    }

    /** Returns whether a response has begun and is not complete. */
    boolean isInResponse() {
        return !inHead || actualReadableBytes() > 0;
    }

    @Override
    protected boolean isContentAlwaysEmpty(final HttpMessage message) {
        return headRequest || super.isContentAlwaysEmpty(message);
    }

    @Override
    protected void decode(final ChannelHandlerContext context, final ByteBuf buffer, final List<Object> parts)
            throws Exception {
        if (inHead && !isHeadComplete(buffer)) {
            return;
        }
        int previousParts = parts.size();
        super.decode(context, buffer, parts);
        follow(parts.subList(previousParts, parts.size()));
    }

    /** Ends an answer without length together with its connection. */
    @Override
    protected void decodeLast(final ChannelHandlerContext context, final ByteBuf buffer, final List<Object> parts)
            throws Exception {
        super.decodeLast(context, buffer, parts);
        follow(parts);
    }

    private void follow(final List<Object> parts) {
        for (Object part : parts) {
            if (part instanceof HttpResponse) {
                inHead = false;
            }
            if (part instanceof LastHttpContent last) {
                markMalformedTrailers(last);
                startHead();
            }
        }
    }

    /** Marks the end of an answer as malformed if trailers are no fields, or are fields that only a head may hold. */
    private void markMalformedTrailers(final LastHttpContent last) {
        try {
            for (Map.Entry<String, String> trailer : last.trailingHeaders()) {
                if (singleNames.contains(trailer.getKey().toLowerCase(Locale.ROOT))) {
                    throw new MalformedHeadException("a field of the head stands in the trailers");
                }
                ResponseHeadValidator.checkField(trailer.getKey() + ":" + trailer.getValue());
            }
        } catch (MalformedHeadException exception) {
            last.setDecoderResult(DecoderResult.failure(exception));
        }
    }

    private void startHead() {
        inHead = true;
        checkedBytes = 0;
        head = new ResponseHeadValidator(singleNames);
    }

    /** Checks the lines that have arrived since the last call and returns whether the head is complete. */
    private boolean isHeadComplete(final ByteBuf buffer) throws MalformedHeadException {
        int start = buffer.readerIndex();
        int lineStart = start + checkedBytes;
        int lineEnd = buffer.forEachByte(lineStart, buffer.writerIndex() - lineStart, ByteProcessor.FIND_LF);
        while (lineEnd >= 0) {
            if (lineEnd == lineStart || buffer.getByte(lineEnd - 1) != CARRIAGE_RETURN) {
                throw new MalformedHeadException("a line does not end with CR and LF");
            }
            checkedBytes = lineEnd + 1 - start;
            if (lineEnd - 1 == lineStart) {
                head.end();
                return true;
            }
            head.add(buffer.toString(lineStart, lineEnd - 1 - lineStart, StandardCharsets.ISO_8859_1));
            lineStart = lineEnd + 1;
            lineEnd = buffer.forEachByte(lineStart, buffer.writerIndex() - lineStart, ByteProcessor.FIND_LF);
        }
        if (buffer.readableBytes() > MAXIMUM_HEAD_BYTES) {
            throw new MalformedHeadException("the head is too long");
        }
        checkPrefix(buffer);
        return false;
    }

    /** Fails as soon as the bytes cannot become a status line. */
    private void checkPrefix(final ByteBuf buffer) throws MalformedHeadException {
        int length = Math.min(VERSION_PREFIX.length(), buffer.readableBytes());
        String prefix = buffer.toString(buffer.readerIndex(), length, StandardCharsets.ISO_8859_1);
        if (!VERSION_PREFIX.startsWith(prefix)) {
            throw new MalformedHeadException("the first line is no status line");
        }
    }
}
