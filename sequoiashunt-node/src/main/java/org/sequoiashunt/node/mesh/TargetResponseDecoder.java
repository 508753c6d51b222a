package org.sequoiashunt.node.mesh;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.nio.charset.StandardCharsets;

/**
 * Decodes HTTP responses and tells which bytes it holds.
 *
 * <p>Confined to the event loop of its channel.
 */
final class TargetResponseDecoder extends HttpResponseDecoder {

    /** Most held bytes that are quoted. */
    private static final int QUOTED_BYTES = 2_048;

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
}
