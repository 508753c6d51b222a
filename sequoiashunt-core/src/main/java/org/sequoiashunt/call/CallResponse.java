package org.sequoiashunt.call;

import java.util.List;
import java.util.Objects;

/**
 * Complete HTTP response of a target. Immutable and thread-safe.
 *
 * @param status the HTTP status.
 * @param headers the headers, without hop-by-hop headers.
 * @param body the whole body.
 */
public record CallResponse(int status, List<HeaderField> headers, Body body) {

    /**
     * Checks the components and copies the list.
     *
     * @throws NullPointerException if a component is null.
     */
    public CallResponse {
        headers = List.copyOf(headers);
        Objects.requireNonNull(body, "body");
    }
}
