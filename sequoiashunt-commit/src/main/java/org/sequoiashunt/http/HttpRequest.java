package org.sequoiashunt.http;

import java.util.List;
import java.util.Objects;
import org.sequoiashunt.call.Body;
import org.sequoiashunt.call.HeaderField;

/**
 * Complete HTTP request to send.
 *
 * <p>Immutable and thread-safe.
 *
 * @param method the HTTP method.
 * @param uri the path and query.
 * @param headers the headers without those that apply to the connection or state the length of the body.
 * @param body the body, which may be empty.
 * @param repeatable whether the request may be sent twice; if not, it is sent only on a connection that is new or was
 *     idle briefly, as the peer may close an idle connection while the request is on its way.
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
