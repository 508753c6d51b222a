package org.sequoiashunt.http;

import io.undertow.client.ClientRequest;
import io.undertow.util.HeaderValues;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;

/** Encodes HTTP/1.1 requests. Not instantiable; thread-safe. */
final class RequestEncoder {

    /** Bodies up to this size are copied so that the request is sent at once. */
    private static final int MAXIMUM_COPIED_BYTES = 65_536;

    private RequestEncoder() {}

    /**
     * Encodes a request.
     *
     * @param request the request line and headers, not null.
     * @param body the body, not null; the headers state its length.
     * @return the bytes of the request, never null.
     * @throws IllegalArgumentException if the request line or a header contains a control character.
     */
    static Queue<ByteBuffer> encode(final ClientRequest request, final byte[] body) {
        StringBuilder text = new StringBuilder();
        appendLine(text, request.getMethod() + " " + request.getPath() + " HTTP/1.1");
        for (HeaderValues values : request.getRequestHeaders()) {
            values.forEach(value -> appendLine(text, values.getHeaderName() + ": " + value));
        }
        appendLine(text, "");
        byte[] head = text.toString().getBytes(StandardCharsets.ISO_8859_1);
        if (body.length > MAXIMUM_COPIED_BYTES) {
            return new ArrayDeque<>(List.of(ByteBuffer.wrap(head), ByteBuffer.wrap(body)));
        }
        ByteBuffer whole = ByteBuffer.allocate(head.length + body.length);
        whole.put(head).put(body).flip();
        return new ArrayDeque<>(List.of(whole));
    }

    private static void appendLine(final StringBuilder head, final String line) {
        if (line.chars().anyMatch(character -> character < ' ' && character != '\t')) {
            throw new IllegalArgumentException("a line of the head contains a control character");
        }
        head.append(line).append("\r\n");
    }
}
