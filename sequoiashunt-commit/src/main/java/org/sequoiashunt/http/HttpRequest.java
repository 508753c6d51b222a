package org.sequoiashunt.http;

import java.util.List;
import java.util.Objects;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.HeaderField;

/**
 * HTTP request to send, whole.
 *
 * <p>Immutable and thread-safe.
 *
 * @param method the method.
 * @param uri path and query.
 * @param headers the headers without those that concern the connection or the length of the body.
 * @param body the body.
 * @param repeatable whether sending the request twice does no harm; others are not sent on a connection that may have
 *     been closed by the peer in the meantime.
 */
public record HttpRequest(String method, String uri, List<HeaderField> headers, Body body, boolean repeatable) {

    /**
     * Checks the components and copies the list.
     *
     * @throws NullPointerException if a component is null.
     */
    public HttpRequest {
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(uri, "uri");
        headers = List.copyOf(headers);
        Objects.requireNonNull(body, "body");
    }
}
